package peppergauge.plugin.abi;

import java.nio.BufferOverflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.List;
import peppergauge.request.Message;

/** Writes the records that are passed to plug-ins: a fixed header, offset and length of each text, then the texts. */
public final class RecordWriter {

    private static final int REQUEST_HEADER_BYTES = 48;
    private static final int RESPONSE_HEADER_BYTES = 28;
    /** Each text has its offset and its length in the header, 16 bits each. */
    private static final int TEXT_REFERENCE_BYTES = 4;

    private final ByteBuffer record;
    private int textOffset;

    private RecordWriter(int headerBytes) {
        record = ByteBuffer.allocate(Abi.RECORD_BUFFER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
        textOffset = headerBytes;
    }

    /** @throws Abi.ViolationException if the record is larger than {@link Abi#RECORD_BUFFER_BYTES} */
    public static byte[] requestRecord(RequestView request) throws Abi.ViolationException {
        List<Message.Field> headers = request.headers();
        RecordWriter writer = new RecordWriter(REQUEST_HEADER_BYTES + 2 * TEXT_REFERENCE_BYTES * headers.size());
        ByteBuffer record = writer.record;
        try {
            record.putShort((short) Abi.VERSION)
                    .put((byte) (request.clientRetry() ? 1 : 0))
                    .put((byte) request.time().weekday())
                    .putShort((short) request.time().minute())
                    .putShort((short) headers.size())
                    .putInt((int) Math.max(0, request.remainingMs()))
                    .putInt(request.bodyBytes())
                    .putLong(request.time().epochMs())
                    .putInt(request.time().offsetS());
            writer.writeText(request.className(), StandardCharsets.UTF_8);
            writer.writeText(request.tenant(), StandardCharsets.UTF_8);
            writer.writeText(request.key(), StandardCharsets.ISO_8859_1);
            writer.writeText(request.method(), StandardCharsets.ISO_8859_1);
            writer.writeText(request.path(), StandardCharsets.ISO_8859_1);
            for (Message.Field header : headers) {
                writer.writeText(header.name(), StandardCharsets.ISO_8859_1);
                writer.writeText(header.value() == null ? "" : header.value(), StandardCharsets.ISO_8859_1);
            }
            return writer.bytes();
        } catch (BufferOverflowException | IndexOutOfBoundsException | IllegalArgumentException tooLarge) {
            throw new Abi.ViolationException("request record exceeds " + Abi.RECORD_BUFFER_BYTES + " bytes");
        }
    }

    /** @throws Abi.ViolationException if the record is larger than {@link Abi#RECORD_BUFFER_BYTES} */
    public static byte[] responseRecord(ResponseView response) throws Abi.ViolationException {
        RecordWriter writer = new RecordWriter(RESPONSE_HEADER_BYTES);
        try {
            writer.record
                    .putShort((short) Abi.VERSION)
                    .putShort((short) response.status())
                    .putInt((int) Math.max(0, response.tookMs()))
                    .putShort((short) Math.min(0xffff, response.attempts()))
                    .putShort((short) 0)
                    .putInt(0);
            writer.writeText(response.className(), StandardCharsets.UTF_8);
            writer.writeText(response.tenant(), StandardCharsets.UTF_8);
            writer.writeText(response.zone(), StandardCharsets.UTF_8);
            return writer.bytes();
        } catch (BufferOverflowException | IndexOutOfBoundsException | IllegalArgumentException tooLarge) {
            throw new Abi.ViolationException("response record exceeds " + Abi.RECORD_BUFFER_BYTES + " bytes");
        }
    }

    /** Writes offset and length of a text to the header and appends the text. */
    private void writeText(String text, Charset charset) {
        byte[] bytes = text.getBytes(charset);
        record.putShort((short) textOffset).putShort((short) bytes.length);
        int headerPosition = record.position();
        record.position(textOffset).put(bytes).position(headerPosition);
        textOffset += bytes.length;
    }

    private byte[] bytes() {
        byte[] bytes = new byte[textOffset];
        record.get(0, bytes);
        return bytes;
    }
}
