package peppergauge.snapshot.format;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.zip.CRC32C;

/**
 * The header and checksum of a snapshot file, big-endian; docs/SNAPSHOTS.md specifies each byte. Magic number,
 * versions, length and checksum have the same positions in all versions, so that a valid file of another version is
 * distinguished from a damaged one.
 *
 * @param version version of the format
 * @param writer version of the program that wrote the file
 * @param name name of the sidecar
 * @param settingsDigest digest of the settings, 64 hexadecimal digits
 * @param wallMs wall-clock time at which the content was collected, ms since 1970
 * @param body encoded content
 */
public record SnapshotFrame(int version, String writer, String name, String settingsDigest, long wallMs, byte[] body) {

    /** Magic number. Like that of PNG, it detects transfers that change line ends or clear the eighth bit. */
    private static final byte[] MAGIC = {(byte) 0x89, 'P', 'G', 'S', '\r', '\n', 0x1A, '\n'};
    /** The format version that this program writes. */
    public static final int VERSION = 1;
    /** The oldest format version whose readers can read what this program writes. */
    private static final int READABLE_SINCE = 1;

    private static final int DIGEST_BYTES = 32;
    /** Size of the magic number, the two versions, the length, the time and the digest. */
    private static final int FIXED_BYTES = 8 + 2 + 2 + 4 + 8 + DIGEST_BYTES;

    private static final int MAX_TEXT_BYTES = 1_000;
    private static final int CHECKSUM_BYTES = 4;

    /** Encodes the frame as the bytes of a file. */
    public byte[] encode() {
        byte[] writerText = text(writer);
        byte[] nameText = text(name);
        int length = FIXED_BYTES + 2 + writerText.length + 2 + nameText.length + body.length + CHECKSUM_BYTES;
        ByteBuffer file = ByteBuffer.allocate(length);
        file.put(MAGIC)
                .putShort((short) version)
                .putShort((short) READABLE_SINCE)
                .putInt(length)
                .putLong(wallMs);
        file.put(HexFormat.of().parseHex(settingsDigest));
        file.putShort((short) writerText.length)
                .put(writerText)
                .putShort((short) nameText.length)
                .put(nameText)
                .put(body);
        file.putInt(checksum(file.array(), length - CHECKSUM_BYTES));
        return file.array();
    }

    /**
     * Decodes the bytes of a file. Length and checksum are verified first.
     *
     * @throws UnusableSnapshotException if the file is truncated, damaged, not a snapshot, or of an unknown version
     */
    public static SnapshotFrame decode(byte[] bytes) throws UnusableSnapshotException {
        ByteBuffer file = ByteBuffer.wrap(bytes);
        require(bytes.length > 0, "it is empty");
        require(
                bytes.length >= MAGIC.length && Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length),
                "it is no snapshot");
        require(bytes.length >= FIXED_BYTES + 4 + CHECKSUM_BYTES, "it is truncated to " + bytes.length + " bytes");
        int version = file.position(MAGIC.length).getShort() & 0xFFFF;
        int readableSince = file.getShort() & 0xFFFF;
        int length = file.getInt();
        require(length == bytes.length, "it has " + bytes.length + " bytes, its header says " + length);
        int end = length - CHECKSUM_BYTES;
        require(checksum(bytes, end) == file.getInt(end), "its checksum does not match");
        require(
                readableSince <= VERSION,
                "its format version is " + version + ", this program reads version " + VERSION);
        long wallMs = file.getLong();
        byte[] digest = new byte[DIGEST_BYTES];
        file.get(digest);
        file.limit(end);
        String writer = text(file);
        String name = text(file);
        byte[] body = new byte[file.remaining()];
        file.get(body);
        return new SnapshotFrame(version, writer, name, HexFormat.of().formatHex(digest), wallMs, body);
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }

    private static byte[] text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return bytes.length <= MAX_TEXT_BYTES ? bytes : Arrays.copyOf(bytes, MAX_TEXT_BYTES);
    }

    private static String text(ByteBuffer file) throws UnusableSnapshotException {
        int length = file.remaining() >= 2 ? file.getShort() & 0xFFFF : -1;
        require(
                length >= 0 && length <= file.remaining(),
                "a string in it has length " + length + ", but " + file.remaining() + " bytes are left");
        byte[] bytes = new byte[length];
        file.get(bytes);
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException malformed) {
            throw new UnusableSnapshotException("a string in it is not valid UTF-8");
        }
    }

    private static void require(boolean holds, String message) throws UnusableSnapshotException {
        if (!holds) {
            throw new UnusableSnapshotException(message);
        }
    }
}
