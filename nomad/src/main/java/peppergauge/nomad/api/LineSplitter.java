package peppergauge.nomad.api;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Splits a byte stream into lines; empty lines, and text after the last line break, are dropped. Not thread-safe. */
public final class LineSplitter {

    private final int maxLineBytes;
    private final Consumer<byte[]> consumer;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** @param maxLineBytes length above which the stream fails */
    public LineSplitter(int maxLineBytes, Consumer<byte[]> consumer) {
        this.maxLineBytes = maxLineBytes;
        this.consumer = consumer;
    }

    /**
     * Processes the next bytes.
     *
     * @throws IOException if a line is too long
     */
    public void write(ByteBuffer part) throws IOException {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next != '\n') {
                line.write(next);
                if (line.size() > maxLineBytes) {
                    throw new IOException("a line over " + maxLineBytes + " bytes");
                }
            } else if (line.size() > 0) {
                byte[] complete = line.toByteArray();
                line.reset();
                consumer.accept(complete);
            }
        }
    }
}
