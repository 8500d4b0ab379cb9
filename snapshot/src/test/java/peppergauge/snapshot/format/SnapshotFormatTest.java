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
import peppergauge.snapshot.SampleSnapshots;

public class SnapshotFormatTest {

    private static final Snapshot SAMPLE = SampleSnapshots.snapshot("side car", 1_700_000_000_000L, 3);
    private static final byte[] ENCODED = SnapshotFormat.encode(SAMPLE);

    @Test
    public void decodesWhatIsEncoded() throws UnusableSnapshotException {
        assertEquals(SnapshotFormat.decode(ENCODED), SAMPLE);
    }

    /** The positions of docs/SNAPSHOTS.md for all fields up to the strings. */
    @Test
    public void fieldsHaveDocumentedPositions() {
        ByteBuffer file = ByteBuffer.wrap(ENCODED);
        assertEquals(file.getLong(0), 0x8950_4753_0D0A_1A0AL);
        assertEquals(file.getInt(8), 0x0001_0001);
        assertEquals(file.getInt(12), ENCODED.length);
        assertEquals(file.getLong(16), SAMPLE.wallMs());
        assertEquals(file.get(24), (byte) 0xAB);
        assertEquals(file.getShort(56), 3);
        assertEquals(file.getShort(61), "side car".length());
        assertEquals(file.get(71) & 0xE0, 0xA0, "the body must start with a CBOR map");
    }

    @Test
    public void rejectsEveryFlippedBitAndEveryTruncation() {
        for (int i = 0; i < ENCODED.length; i++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = ENCODED.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertThrows(UnusableSnapshotException.class, () -> SnapshotFormat.decode(flipped));
            }
            byte[] truncated = Arrays.copyOf(ENCODED, i);
            assertThrows(UnusableSnapshotException.class, () -> SnapshotFormat.decode(truncated));
        }
    }

    @DataProvider
    public Object[][] invalidFiles() throws Exception {
        byte[] shifted = new byte[ENCODED.length + 1];
        System.arraycopy(ENCODED, 0, shifted, 1, ENCODED.length);
        return new Object[][] {
            {new byte[0], "it is empty"},
            {shifted, "it is no snapshot"},
            {Arrays.copyOf(ENCODED, ENCODED.length + 9), "bytes, its header says"},
            {Arrays.copyOf(ENCODED, 20), "it is truncated to 20 bytes"},
            {versions(ENCODED, 7, 7), "its format version is 7, this program reads version 1"},
            {withChecksum(file(new byte[] {1, 2, 3})), "its statistics are malformed"},
            {withChecksum(file(body(Float.NaN))), "a number is NaN"},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void rejectsInvalidFileWithReason(byte[] bytes, String reason) {
        String message = expectThrows(UnusableSnapshotException.class, () -> SnapshotFormat.decode(bytes))
                .getMessage();
        assertTrue(message.contains(reason), reason + " expected in " + message);
    }

    /** The second version number of a file is the oldest version whose readers can read it. */
    @Test
    public void ignoresAdditionsOfCompatibleLaterVersion() throws Exception {
        byte[] file = versions(file(body(1)), 2, 1);
        assertEquals(SnapshotFormat.decode(file).state().cluster().queueingSlope(), 1.0);
    }

    @Property(tries = 300)
    void decodesOrRejectsAnyBody(@ForAll @Size(max = 60) byte[] body) {
        decodesOrRejects(file(body));
    }

    @Property(tries = 300)
    void decodesOrRejectsAnyChangeToValidBody(@ForAll @IntRange(max = 2_000) int position, @ForAll byte value) {
        byte[] file = ENCODED.clone();
        file[71 + position % (file.length - 75)] = value;
        decodesOrRejects(withChecksum(file));
    }

    private static void decodesOrRejects(byte[] file) {
        try {
            SnapshotFormat.decode(file);
        } catch (UnusableSnapshotException rejected) {
            assertTrue(rejected.getMessage() != null, "a rejection must have a reason");
        }
    }

    /** Returns a body with an unknown key and an additional number; each number is {@code number}. */
    private static byte[] body(float number) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator to = new CBORFactory().createGenerator(out)) {
            to.writeStartObject();
            to.writeArrayFieldStart("later");
            to.writeStartObject();
            to.writeEndObject();
            to.writeEndArray();
            to.writeArrayFieldStart("fleet");
            for (int i = 0; i < 26; i++) {
                to.writeNumber(number);
            }
            to.writeEndArray();
            to.writeEndObject();
        }
        return out.toByteArray();
    }

    private static byte[] file(byte[] body) {
        return new SnapshotFrame(1, "w", "n", SampleSnapshots.SETTINGS, 1, body).encode();
    }

    private static byte[] versions(byte[] file, int version, int readableSince) {
        byte[] changed = file.clone();
        ByteBuffer.wrap(changed).putShort(8, (short) version).putShort(10, (short) readableSince);
        return withChecksum(changed);
    }

    private static byte[] withChecksum(byte[] file) {
        CRC32C sum = new CRC32C();
        sum.update(file, 0, file.length - 4);
        ByteBuffer.wrap(file).putInt(file.length - 4, (int) sum.getValue());
        return file;
    }
}
