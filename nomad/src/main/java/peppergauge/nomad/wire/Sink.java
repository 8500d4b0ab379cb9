package peppergauge.nomad.wire;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Takes one answer, on the loop; {@link #ended} or {@link #failed} is called once, and nothing after it. */
public interface Sink {

    void head(Head head) throws IOException;

    /** The next part of the body, as it comes in. An {@link IOException} ends the connection and is told as failure. */
    void part(ByteBuffer part) throws IOException;

    /** The answer is whole. */
    void ended();

    /** There is no whole answer. */
    void failed(String why);
}
