package peppergauge.thrift.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits the input of one connection into messages. It buffers at most one message and one read, and nothing between
 * messages. Not thread-safe.
 */
public final class MessageReader {

    private static final byte[] EMPTY_BUFFER = {};
    private static final int MIN_BUFFER_BYTES = 256;
    private static final int NO_FRAME = -1;

    private final MessageLimits limits;
    private WireFormat format;
    private byte[] buffer = EMPTY_BUFFER;
    private int readIndex;
    private int writeIndex;
    private long receivedBytes;
    /** Scans the present message; null between messages. */
    private MessageScanner scanner;
    /** The length of the present message by its frame header; {@link #NO_FRAME} if unframed, or between messages. */
    private int frameLength = NO_FRAME;

    /** @param format null if it is to be detected from the first bytes */
    public MessageReader(WireFormat format, MessageLimits limits) {
        this.format = format;
        this.limits = limits;
    }

    /** The format of the connection; null until it is detected. */
    public WireFormat format() {
        return format;
    }

    /** Whether bytes are buffered that {@link #next} has not returned: a part of a message, or complete messages. */
    public boolean hasBufferedInput() {
        return writeIndex > readIndex;
    }

    /** The number of all bytes received. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** The header of the present or the malformed message; null if it is not known. */
    public MessageHeader header() {
        return scanner == null ? null : scanner.header();
    }

    /** The size of the buffer. */
    public int bufferBytes() {
        return buffer.length;
    }

    /** The size that the buffer will have when so many bytes are fed. */
    public int bufferBytesAfter(int added) {
        if (writeIndex - readIndex + added <= buffer.length) {
            return buffer.length;
        }
        return Math.max(MIN_BUFFER_BYTES, grownBytes()) + added;
    }

    /** Twice the buffered bytes, but no more than the present message needs. */
    private int grownBytes() {
        int buffered = writeIndex - readIndex;
        return Math.min(2 * buffered, Math.max(buffered, expectedBytes()));
    }

    /** The most bytes that the present message may have: by its frame header, else the limit. */
    public int expectedBytes() {
        return frameLength == NO_FRAME ? limits.maxMessageBytes() : Math.min(frameLength, limits.maxMessageBytes());
    }

    /** Drops the buffer; the connection's further input is not read as messages. */
    public void discardBuffer() {
        buffer = EMPTY_BUFFER;
        readIndex = 0;
        writeIndex = 0;
    }

    /** Buffers input; {@link #next} returns the messages in it. */
    public void feed(ByteBuffer input) {
        int added = input.remaining();
        if (buffer.length - writeIndex < added) {
            makeRoom(added);
        }
        input.get(buffer, writeIndex, added);
        writeIndex += added;
        receivedBytes += added;
    }

    /** Moves the buffered bytes to the start of the buffer, or of a larger one. */
    private void makeRoom(int added) {
        int buffered = writeIndex - readIndex;
        byte[] target = buffered + added <= buffer.length ? buffer : new byte[bufferBytesAfter(added)];
        System.arraycopy(buffer, readIndex, target, 0, buffered);
        buffer = target;
        readIndex = 0;
        writeIndex = buffered;
    }

    /**
     * Returns the next message; null if it is incomplete.
     *
     * @throws MalformedMessageException if the input is no valid message; the rest of the input is then unusable
     */
    public RawMessage next() throws MalformedMessageException {
        if (format == null) {
            format = WireFormat.detect(buffer, readIndex, writeIndex - readIndex);
        }
        if (format == null || !hasBufferedInput() || !startMessage()) {
            return null;
        }
        boolean isComplete = scanner.advance(buffer, readIndex, writeIndex - readIndex);
        if (frameLength > limits.maxMessageBytes() && scanner.header() != null) {
            // Checked once the header is known, so that the call can be answered.
            throw new MalformedMessageException(
                    "frame length is " + frameLength + "; expected at most " + limits.maxMessageBytes());
        }
        if (!isComplete) {
            return null;
        }
        if (frameLength != NO_FRAME && scanner.position() != frameLength) {
            throw new MalformedMessageException(
                    "frame length is " + frameLength + "; its message ends after " + scanner.position() + " bytes");
        }
        RawMessage message = new RawMessage(
                format.encoding(),
                scanner.header(),
                Arrays.copyOfRange(buffer, readIndex, readIndex + scanner.position()));
        readIndex += scanner.position();
        scanner = null;
        frameLength = NO_FRAME;
        if (!hasBufferedInput()) {
            discardBuffer();
        }
        return message;
    }

    /** Creates the scanner of a message; returns whether it exists, which in a framed format needs the frame header. */
    private boolean startMessage() throws MalformedMessageException {
        if (scanner != null) {
            return true;
        }
        if (!format.framed()) {
            scanner = new MessageScanner(format.encoding(), limits.maxMessageBytes(), limits.maxDepth());
            return true;
        }
        if (writeIndex - readIndex < WireFormat.FRAME_HEADER_BYTES) {
            return false;
        }
        frameLength = ByteBuffer.wrap(buffer, readIndex, WireFormat.FRAME_HEADER_BYTES)
                .getInt();
        if (frameLength <= 0) {
            throw new MalformedMessageException("frame length is " + frameLength + "; expected at least 1");
        }
        readIndex += WireFormat.FRAME_HEADER_BYTES;
        scanner = new MessageScanner(
                format.encoding(), Math.min(frameLength, limits.maxMessageBytes()), limits.maxDepth());
        return true;
    }
}
