package peppergauge.snapshot.format;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.zip.CRC32C;

/**
 * The outer part of a file, big-endian; docs/SNAPSHOTS.md draws it byte by byte. Magic, versions, length and checksum
 * keep their places in all versions, so that each can tell a whole file of another version from a damaged one.
 *
 * @param body as {@link Body} writes it
 */
public record Frame(int version, String writer, String name, String settings, long wallMs, byte[] body) {

    /** As of PNG: a transfer that changes line ends, or cuts the eighth bit, is seen at once. */
    private static final byte[] MAGIC = {(byte) 0x89, 'P', 'G', 'S', '\r', '\n', 0x1A, '\n'};
    /** What this program writes. */
    public static final int VERSION = 1;
    /** The oldest program that understands what this one writes. */
    private static final int READABLE_SINCE = 1;

    private static final int FIXED = 8 + 2 + 2 + 4 + 8 + 32;
    private static final int LONGEST_TEXT = 1_000;
    private static final int CHECKSUM = 4;

    public byte[] encode() {
        byte[] by = text(writer);
        byte[] of = text(name);
        int length = FIXED + 2 + by.length + 2 + of.length + body.length + CHECKSUM;
        ByteBuffer file = ByteBuffer.allocate(length);
        file.put(MAGIC)
                .putShort((short) version)
                .putShort((short) READABLE_SINCE)
                .putInt(length)
                .putLong(wallMs);
        file.put(HexFormat.of().parseHex(settings));
        file.putShort((short) by.length)
                .put(by)
                .putShort((short) of.length)
                .put(of)
                .put(body);
        file.putInt(checksum(file.array(), length - CHECKSUM));
        return file.array();
    }

    /** Nothing of a file is believed, its versions neither, before length and checksum are right. */
    public static Frame decode(byte[] bytes) throws UnusableSnapshot {
        ByteBuffer file = ByteBuffer.wrap(bytes);
        require(bytes.length > 0, "it is empty");
        require(
                bytes.length >= MAGIC.length && Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length),
                "it is no snapshot");
        require(bytes.length >= FIXED + 4 + CHECKSUM, "it is cut off after " + bytes.length + " bytes");
        int version = file.position(MAGIC.length).getShort() & 0xFFFF;
        int readableSince = file.getShort() & 0xFFFF;
        int length = file.getInt();
        require(length == bytes.length, "it has " + bytes.length + " bytes and says " + length);
        int end = length - CHECKSUM;
        require(checksum(bytes, end) == file.getInt(end), "its checksum is wrong");
        require(
                readableSince <= VERSION,
                "its format is of version " + version + ", and this program knows " + VERSION);
        long wallMs = file.getLong();
        byte[] settings = new byte[32];
        file.get(settings);
        file.limit(end);
        String writer = text(file);
        String name = text(file);
        byte[] body = new byte[file.remaining()];
        file.get(body);
        return new Frame(version, writer, name, HexFormat.of().formatHex(settings), wallMs, body);
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }

    private static byte[] text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return bytes.length <= LONGEST_TEXT ? bytes : Arrays.copyOf(bytes, LONGEST_TEXT);
    }

    private static String text(ByteBuffer file) throws UnusableSnapshot {
        int length = file.remaining() >= 2 ? file.getShort() & 0xFFFF : -1;
        require(length >= 0 && length <= file.remaining(), "a text in it has no end");
        byte[] bytes = new byte[length];
        file.get(bytes);
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException garbage) {
            throw new UnusableSnapshot("a text in it is not UTF-8");
        }
    }

    private static void require(boolean holds, String otherwise) throws UnusableSnapshot {
        if (!holds) {
            throw new UnusableSnapshot(otherwise);
        }
    }
}
