package peppergauge.nomad.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Collects an answer whole, within bounds. */
public abstract class Body implements Sink {

    private final int most;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Head head;

    protected Body(int most) {
        this.most = most;
    }

    @Override
    public final void head(Head told) {
        head = told;
    }

    @Override
    public final void part(ByteBuffer part) throws IOException {
        if (bytes.size() + part.remaining() > most) {
            throw new IOException("an answer over " + most + " bytes");
        }
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        bytes.write(copy);
    }

    @Override
    public final void ended() {
        if (head.status() == 200) {
            answered(head, bytes.toByteArray());
        } else {
            refused(head);
        }
    }

    @Override
    public final void failed(String why) {
        lost(why);
    }

    /** Answered 200, whole. */
    protected abstract void answered(Head told, byte[] body);

    /** Answered anything else. */
    protected abstract void refused(Head told);

    /** Not answered. */
    protected abstract void lost(String why);
}
