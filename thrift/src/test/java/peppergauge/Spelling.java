package peppergauge;

import java.io.IOException;
import java.io.InputStream;

/** How a protocol writes what a rule is about. A rule says what happens; this says what that looks like on a wire. */
interface Spelling {

    /** What a session asks of a backend server; {@code sequence}: to answer with, where the protocol has one. */
    record Ask(String method, String id, long remainingMs, String body, int sequence) {}

    /**
     * What a client hears.
     *
     * @param what served, denied, failed, late, duplicate, unknown or unusable
     * @param comeBackMs NaN if it does not say
     */
    record Answer(String what, String body, double comeBackMs) {}

    /** Reads what comes in on one connection; null at its end. */
    interface End {

        Ask ask() throws IOException;

        Answer answer() throws IOException;
    }

    End on(InputStream in);

    /** {@code method}: list, which may run again, gift, which must not, or something that is not served. */
    byte[] ask(Ask ask, String tenant);

    byte[] served(Ask ask, String body);

    /** It failed, and may have run. */
    byte[] error(Ask ask);

    byte[] neverRan(Ask ask);

    /** Answers that belong to no request or cannot be read; each means that the attempt may have run. */
    byte[][] spoilt(Ask ask);
}
