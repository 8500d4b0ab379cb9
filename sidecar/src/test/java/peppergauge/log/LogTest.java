package peppergauge.log;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.Test;

public class LogTest {

    private static final String EVENT = "log_test";

    /** A test missed the line it waited for: other tests in its JVM had used up the rate limit of that second. */
    @Test
    public void newSinkStartsWithFullRateLimit() {
        List<String> first = new CopyOnWriteArrayList<>();
        List<String> second = new CopyOnWriteArrayList<>();
        Log.Sink previous = Log.setSink(recordingSink(first));
        try {
            int lines = 0;
            while (first.size() == lines) {
                Log.line(EVENT, "line " + ++lines);
            }
            Log.setSink(recordingSink(second));
            Log.line(EVENT, "received");
        } finally {
            Log.setSink(previous);
        }
        assertEquals(second, List.of("received, 0 dropped"));
    }

    @Test
    public void writesEventFieldsAsKeyValuePairs() {
        List<String> lines = new CopyOnWriteArrayList<>();
        Log.Sink previous = Log.setSink(recordingSink(lines));
        try {
            Log.event(EVENT, "server", "a:80", "error", "reset by \"peer\"", "version", 7, "note", "");
        } finally {
            Log.setSink(previous);
        }
        assertEquals(lines, List.of("server=a:80 error=\"reset by \\\"peer\\\"\" version=7 note=\"\", 0 dropped"));
    }

    /** Records the lines of this test only, since threads of other tests may still log. */
    private static Log.Sink recordingSink(List<String> lines) {
        return (event, text, dropped) -> {
            if (event.equals(EVENT)) {
                lines.add(text + ", " + dropped + " dropped");
            }
        };
    }
}
