package peppergauge.nomad.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Cuts a stream into lines, within bounds. What comes after the last line's end is no line. */
public final class Lines {

    private final int longest;
    private final Consumer<byte[]> each;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    public Lines(int longest, Consumer<byte[]> each) {
        this.longest = longest;
        this.each = each;
    }

    public void part(ByteBuffer part) throws IOException {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next != '\n') {
                line.write(next);
                if (line.size() > longest) {
                    throw new IOException("a line over " + longest + " bytes");
                }
            } else if (line.size() > 0) {
                byte[] whole = line.toByteArray();
                line.reset();
                each.accept(whole);
            }
        }
    }
}
