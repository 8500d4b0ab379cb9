package peppergauge.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class BodyBufferTest {

    private static final int MAX_BYTES = 64 * 1024;

    private static ByteBuffer part(int bytes) {
        return ByteBuffer.wrap("x".repeat(bytes).getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    public void allocatesAnAnnouncedLengthOnceAndCopiesNothing() {
        BodyBuffer buffer = new BodyBuffer(MAX_BYTES);
        buffer.expectLength(10_000);
        assertEquals(buffer.growthFor(1), 10_000);
        buffer.write(part(4_000));
        assertEquals(buffer.growthFor(6_000), 0);
        buffer.write(part(6_000));
        byte[] body = buffer.take();
        assertEquals(body.length, 10_000);
        assertEquals(buffer.take().length, 0);
    }

    /** Announced lengths that are unknown, too small or too large for the body. */
    @DataProvider
    public Object[][] announcedLengths() {
        return new Object[][] {{-1L}, {0L}, {5L}, {1L << 40}};
    }

    @Test(dataProvider = "announcedLengths")
    public void growsUpToTheMaximumWhateverIsAnnounced(long announced) {
        BodyBuffer buffer = new BodyBuffer(MAX_BYTES);
        buffer.expectLength(announced);
        int allocated = 0;
        for (int i = 0; i < MAX_BYTES / 1_024; i++) {
            assertTrue(buffer.accepts(1_024));
            allocated += buffer.growthFor(1_024);
            buffer.write(part(1_024));
        }
        assertEquals(allocated, MAX_BYTES);
        assertFalse(buffer.accepts(1));
        assertEquals(buffer.take().length, MAX_BYTES);
    }

    @Test
    public void takesABodyThatIsShorterThanItsArray() {
        BodyBuffer buffer = new BodyBuffer(MAX_BYTES);
        buffer.write(part(3));
        buffer.write(part(2));
        assertEquals(new String(buffer.take(), StandardCharsets.ISO_8859_1), "xxxxx");
        buffer.clear();
        assertEquals(buffer.take().length, 0);
    }
}
