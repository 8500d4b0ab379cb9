package peppergauge.http;

import static org.testng.Assert.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The memory that is counted for a head is what it takes on the heap, whatever its shape. */
public class HeadMemoryTest {

    private static final int HEADS = 400;
    private static final String REQUEST_LINE = "GET /list/k HTTP/1.1\r\n";

    /** Remembers the memory that was counted last. */
    private static final class CountingGate implements HeadReader.Gate {

        private long memoryBytes;

        @Override
        public boolean mayStart() {
            return true;
        }

        @Override
        public boolean mayHold(long bytes) {
            memoryBytes = bytes;
            return true;
        }
    }

    @DataProvider
    public Object[][] unfinishedHeads() {
        return new Object[][] {
            {"short fields", "a:\r\n".repeat(HeadReader.MAX_FIELDS)},
            {"fields of usual length", ("X-Field-Name: " + "v".repeat(40) + "\r\n").repeat(HeadReader.MAX_FIELDS)},
            {"a long field", "X-Long: " + "v".repeat(8_000) + "\r\n"},
            {"an unfinished long field", "X-Long: " + "v".repeat(8_000)},
        };
    }

    @Test(dataProvider = "unfinishedHeads")
    public void countsAtLeastWhatAnUnfinishedHeadTakesOnTheHeap(String name, String fields) throws Exception {
        List<HeadReader<HttpRequest>> readers = new ArrayList<>();
        CountingGate gate = new CountingGate();
        parse(HeadReader.forRequests(gate), REQUEST_LINE + fields);
        long beforeBytes = usedBytes();
        for (int i = 0; i < HEADS; i++) {
            HeadReader<HttpRequest> reader = HeadReader.forRequests(gate);
            parse(reader, REQUEST_LINE + fields);
            readers.add(reader);
        }
        long takenBytes = (usedBytes() - beforeBytes) / HEADS;
        assertTrue(readers.stream().allMatch(HeadReader::hasPartialHead));
        assertTrue(
                takenBytes <= gate.memoryBytes,
                "a head with " + name + " takes " + takenBytes + " bytes, counted: " + gate.memoryBytes);
    }

    /** A head of thousands of fields of a few bytes took 300 KB of heap. */
    @Test(expectedExceptions = RequestHeaderFieldsTooLargeException.class)
    public void rejectsHeadWithTooManyFields() throws Exception {
        parse(HeadReader.forRequests(HeadReader.Gate.OPEN), REQUEST_LINE + "a:\r\n".repeat(HeadReader.MAX_FIELDS + 1));
    }

    private static void parse(HeadReader<HttpRequest> reader, String text) throws Exception {
        int[] position = {0};
        SessionInputBuffer input = (SessionInputBuffer) Proxy.newProxyInstance(
                SessionInputBuffer.class.getClassLoader(),
                new Class<?>[] {SessionInputBuffer.class},
                (proxy, method, arguments) -> method.getName().equals("hasData")
                        ? (Object) (position[0] < text.length())
                        : (Object) (int) text.charAt(position[0]++));
        reader.parse(input, false);
    }

    private static long usedBytes() throws InterruptedException {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(20);
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
