package peppergauge.log;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.Test;

public class LogTest {

    private static final String KIND = "log-test";

    /** A test that listened for one line did not hear it: others of its JVM had used up the lines of that second. */
    @Test
    public void aNewReaderMissesNothingForWhatAFormerOneGot() {
        List<String> first = new CopyOnWriteArrayList<>();
        List<String> second = new CopyOnWriteArrayList<>();
        Log.Sink former = Log.setSink(only(first));
        try {
            int lines = 0;
            while (first.size() == lines) {
                Log.line(KIND, "line " + ++lines);
            }
            Log.setSink(only(second));
            Log.line(KIND, "heard");
        } finally {
            Log.setSink(former);
        }
        assertEquals(second, List.of("heard, 0 passed over"));
    }

    @Test
    public void anEventIsWrittenAsKeysAndValues() {
        List<String> lines = new CopyOnWriteArrayList<>();
        Log.Sink former = Log.setSink(only(lines));
        try {
            Log.event(KIND, "server", "a:80", "error", "reset by \"peer\"", "version", 7, "note", "");
        } finally {
            Log.setSink(former);
        }
        assertEquals(lines, List.of("server=a:80 error=\"reset by \\\"peer\\\"\" version=7 note=\"\", 0 passed over"));
    }

    /** Threads of other tests may still have something to say. */
    private static Log.Sink only(List<String> heard) {
        return (kind, text, passedOver) -> {
            if (kind.equals(KIND)) {
                heard.add(text + ", " + passedOver + " passed over");
            }
        };
    }
}
