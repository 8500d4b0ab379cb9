package peppergauge.plugin.abi;

import java.nio.BufferOverflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.List;
import peppergauge.request.Message;

/** Writes the records that plug-ins are handed: a fixed head, places of texts, then the texts. */
public final class RecordWriter {

    private static final int SESSION_HEAD = 48;
    private static final int ANSWER_HEAD = 28;

    private final ByteBuffer record;
    private int texts;

    private RecordWriter(int head) {
        record = ByteBuffer.allocate(Abi.INBOX).order(ByteOrder.LITTLE_ENDIAN);
        texts = head;
    }

    /** @throws Abi.Broken if the session is too large for the inbox */
    public static byte[] session(SessionView session) throws Abi.Broken {
        List<Message.Field> headers = session.headers();
        RecordWriter writer = new RecordWriter(SESSION_HEAD + 8 * headers.size());
        ByteBuffer record = writer.record;
        try {
            record.putShort((short) Abi.VERSION)
                    .put((byte) (session.clientRetry() ? 1 : 0))
                    .put((byte) session.time().weekday())
                    .putShort((short) session.time().minute())
                    .putShort((short) headers.size())
                    .putInt((int) Math.max(0, session.remainingMs()))
                    .putInt(session.bodyBytes())
                    .putLong(session.time().epochMs())
                    .putInt(session.time().offsetS());
            writer.text(session.className(), StandardCharsets.UTF_8);
            writer.text(session.tenant(), StandardCharsets.UTF_8);
            writer.text(session.key(), StandardCharsets.ISO_8859_1);
            writer.text(session.method(), StandardCharsets.ISO_8859_1);
            writer.text(session.path(), StandardCharsets.ISO_8859_1);
            for (Message.Field header : headers) {
                writer.text(header.name(), StandardCharsets.ISO_8859_1);
                writer.text(header.value() == null ? "" : header.value(), StandardCharsets.ISO_8859_1);
            }
            return writer.bytes();
        } catch (BufferOverflowException | IndexOutOfBoundsException | IllegalArgumentException tooLarge) {
            throw new Abi.Broken("a session over " + Abi.INBOX + " bytes");
        }
    }

    public static byte[] answer(AnswerView answer) throws Abi.Broken {
        RecordWriter writer = new RecordWriter(ANSWER_HEAD);
        try {
            writer.record
                    .putShort((short) Abi.VERSION)
                    .putShort((short) answer.status())
                    .putInt((int) Math.max(0, answer.tookMs()))
                    .putShort((short) Math.min(0xffff, answer.attempts()))
                    .putShort((short) 0)
                    .putInt(0);
            writer.text(answer.className(), StandardCharsets.UTF_8);
            writer.text(answer.tenant(), StandardCharsets.UTF_8);
            writer.text(answer.zone(), StandardCharsets.UTF_8);
            return writer.bytes();
        } catch (BufferOverflowException | IndexOutOfBoundsException | IllegalArgumentException tooLarge) {
            throw new Abi.Broken("an answer over " + Abi.INBOX + " bytes");
        }
    }

    /** Its place goes into the head, it itself behind all others. */
    private void text(String text, Charset charset) {
        byte[] bytes = text.getBytes(charset);
        record.putShort((short) texts).putShort((short) bytes.length);
        int head = record.position();
        record.position(texts).put(bytes).position(head);
        texts += bytes.length;
    }

    private byte[] bytes() {
        byte[] bytes = new byte[texts];
        record.get(0, bytes);
        return bytes;
    }
}
