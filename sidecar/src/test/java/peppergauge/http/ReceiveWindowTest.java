package peppergauge.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.config.Http1Config;
import org.testng.annotations.Test;

public class ReceiveWindowTest {

    private static final int INITIAL = Http1Config.DEFAULT.getInitialWindowSize();

    private final List<Integer> granted = new ArrayList<>();

    /** Bytes that arrived beyond the capacity are already included in HttpCore's count. */
    @Test
    public void grantsOnlyBytesThatHttpCoreDoesNotHave() throws IOException {
        granted.clear();
        ReceiveWindow window = new ReceiveWindow(0);
        window.setCapacity(0);
        window.onWindowExhausted(granted::add);
        assertEquals(granted, List.of());
        window.onReceived(INITIAL);
        assertFalse(window.isOpen());
        window.setCapacity(100);
        assertTrue(window.isOpen());
        assertEquals(granted, List.of(100));
        window.onReceived(40);
        window.setCapacity(100);
        assertEquals(granted, List.of(100, 40));
    }

    @Test
    public void countsBytesThatWereGrantedBefore() throws IOException {
        assertEquals(grantAfter(new ReceiveWindow(1_000), INITIAL + 1_000, 5), List.of(5));
    }

    /** HttpCore's own count is negative in this case. */
    @Test
    public void compensatesForBytesReceivedWithoutCapacity() throws IOException {
        assertEquals(grantAfter(new ReceiveWindow(0), INITIAL + 1_000, 5), List.of(1_005));
    }

    private List<Integer> grantAfter(ReceiveWindow window, int received, int capacity) throws IOException {
        granted.clear();
        window.setCapacity(0);
        window.onWindowExhausted(granted::add);
        window.onReceived(received);
        window.setCapacity(capacity);
        return granted;
    }

    @Test
    public void grantsHttpCoresMaximumWithoutALimit() throws IOException {
        granted.clear();
        new ReceiveWindow(0).onWindowExhausted(granted::add);
        assertEquals(granted, List.of(Integer.MAX_VALUE - 1));
    }
}
