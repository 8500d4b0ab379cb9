package peppergauge.bodies.flow;

import peppergauge.request.BodyWriter;

/** An answer's body: passed on as it comes, once, and kept by nobody. */
public final class Pipe extends Passage {

    private Pipe(Shared shared, long length, long most, BodyWriter.Producer sender) {
        super(shared, length, most, sender);
    }

    /**
     * @param length in bytes, -1 if its end tells
     * @param most bytes that it may have: one that goes on breaks
     */
    public static Pipe open(Shared shared, long length, long most, BodyWriter.Producer sender) {
        Pipe pipe = new Pipe(shared, length, most, sender);
        pipe.begin();
        return pipe;
    }

    @Override
    void stored(int bytes) {}

    @Override
    void passed(long offset) {
        pieces().dropBefore(offset);
        commit();
    }

    @Override
    boolean allPassed() {
        return true;
    }

    @Override
    boolean stopped() {
        return true;
    }

    @Override
    void senderSlow() {
        shared.ends().slow("backend server");
    }

    @Override
    void tooLong() {
        shared.ends().slow("answer without end");
    }
}
