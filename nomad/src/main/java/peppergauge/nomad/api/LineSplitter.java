package peppergauge.nomad.api;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Splits a byte stream into lines. Empty lines are skipped, and so is an unterminated last line. Not thread-safe. */
public final class LineSplitter {

    private final int maxLineBytes;
    private final Consumer<byte[]> consumer;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Creates a splitter for one stream.
     *
     * @param maxLineBytes length of a line above which the stream fails
     * @param consumer receives each line, without its line break
     */
    public LineSplitter(int maxLineBytes, Consumer<byte[]> consumer) {
        this.maxLineBytes = maxLineBytes;
        this.consumer = consumer;
    }

    /**
     * Processes the next bytes.
     *
     * @throws IOException if a line is longer than the maximum
     */
    public void write(ByteBuffer part) throws IOException {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next != '\n') {
                line.write(next);
                if (line.size() > maxLineBytes) {
                    throw new IOException("line is longer than " + maxLineBytes + " bytes");
                }
            } else if (line.size() > 0) {
                byte[] complete = line.toByteArray();
                line.reset();
                consumer.accept(complete);
            }
        }
    }
}
