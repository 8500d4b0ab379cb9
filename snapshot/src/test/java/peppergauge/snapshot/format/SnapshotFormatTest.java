package peppergauge.snapshot.format;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.snapshot.Samples;

public class SnapshotFormatTest {

    private static final Snapshot SAMPLE = Samples.snapshot("side car", 1_700_000_000_000L, 3);
    private static final byte[] WHOLE = SnapshotFormat.encode(SAMPLE);

    @Test
    public void whatIsWrittenIsRead() throws UnusableSnapshotException {
        assertEquals(SnapshotFormat.decode(WHOLE), SAMPLE);
    }

    /** What the page says of each byte before the texts. */
    @Test
    public void eachByteStandsWhereTheDocumentsSay() {
        ByteBuffer file = ByteBuffer.wrap(WHOLE);
        assertEquals(file.getLong(0), 0x8950_4753_0D0A_1A0AL);
        assertEquals(file.getInt(8), 0x0001_0001);
        assertEquals(file.getInt(12), WHOLE.length);
        assertEquals(file.getLong(16), SAMPLE.wallMs());
        assertEquals(file.get(24), (byte) 0xAB);
        assertEquals(file.getShort(56), 3);
        assertEquals(file.getShort(61), "side car".length());
        assertEquals(file.get(71) & 0xE0, 0xA0, "a map of CBOR");
    }

    @Test
    public void everyByteFlippedAndEveryTruncationIsSeen() {
        for (int i = 0; i < WHOLE.length; i++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = WHOLE.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertThrows(UnusableSnapshotException.class, () -> SnapshotFormat.decode(flipped));
            }
            byte[] cut = Arrays.copyOf(WHOLE, i);
            assertThrows(UnusableSnapshotException.class, () -> SnapshotFormat.decode(cut));
        }
    }

    @DataProvider
    public Object[][] spoilt() throws Exception {
        byte[] before = new byte[WHOLE.length + 1];
        System.arraycopy(WHOLE, 0, before, 1, WHOLE.length);
        return new Object[][] {
            {new byte[0], "it is empty"},
            {before, "it is no snapshot"},
            {Arrays.copyOf(WHOLE, WHOLE.length + 9), "bytes and says"},
            {Arrays.copyOf(WHOLE, 20), "it is cut off after 20 bytes"},
            {versions(WHOLE, 7, 7), "its format is of version 7, and this program knows 1"},
            {
                signed(new SnapshotFrame(1, "w", "n", Samples.SETTINGS, 1, new byte[] {1, 2, 3}).encode()),
                "its statistics are malformed"
            },
            {signed(new SnapshotFrame(1, "w", "n", Samples.SETTINGS, 1, body(Float.NaN)).encode()), "a number is NaN"},
        };
    }

    @Test(dataProvider = "spoilt")
    public void whatIsNoSnapshotSaysWhy(byte[] bytes, String why) {
        String said = expectThrows(UnusableSnapshotException.class, () -> SnapshotFormat.decode(bytes))
                .getMessage();
        assertTrue(said.contains(why), said);
    }

    /** A later version that only added says so by its second version number. */
    @Test
    public void whatALaterVersionAddsIsPassedOver() throws Exception {
        byte[] file = versions(new SnapshotFrame(1, "w", "n", Samples.SETTINGS, 1, body(1)).encode(), 2, 1);
        assertEquals(SnapshotFormat.decode(file).state().cluster().queueingSlope(), 1.0);
    }

    @Property(tries = 300)
    void noBodyHoweverOddEndsInAnythingButAReason(@ForAll @Size(max = 60) byte[] body) {
        readOrRefused(new SnapshotFrame(1, "w", "n", Samples.SETTINGS, 1, body).encode());
    }

    @Property(tries = 300)
    void noChangeToASoundBodyEndsInAnythingButAReason(@ForAll @IntRange(max = 2_000) int at, @ForAll byte value) {
        byte[] file = WHOLE.clone();
        file[71 + at % (file.length - 75)] = value;
        readOrRefused(signed(file));
    }

    private static void readOrRefused(byte[] file) {
        try {
            SnapshotFormat.decode(file);
        } catch (UnusableSnapshotException refused) {
            assertTrue(refused.getMessage() != null);
        }
    }

    /** A body with a key and a figure more than is known here; each known figure is {@code figure}. */
    private static byte[] body(float figure) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator to = new CBORFactory().createGenerator(out)) {
            to.writeStartObject();
            to.writeArrayFieldStart("later");
            to.writeStartObject();
            to.writeEndObject();
            to.writeEndArray();
            to.writeArrayFieldStart("fleet");
            for (int i = 0; i < 26; i++) {
                to.writeNumber(figure);
            }
            to.writeEndArray();
            to.writeEndObject();
        }
        return out.toByteArray();
    }

    private static byte[] versions(byte[] file, int version, int readableSince) {
        byte[] changed = file.clone();
        ByteBuffer.wrap(changed).putShort(8, (short) version).putShort(10, (short) readableSince);
        return signed(changed);
    }

    private static byte[] signed(byte[] file) {
        CRC32C sum = new CRC32C();
        sum.update(file, 0, file.length - 4);
        ByteBuffer.wrap(file).putInt(file.length - 4, (int) sum.getValue());
        return file;
    }
}
