package peppergauge.request;

import java.nio.ByteBuffer;

/** The end of a {@link BodyStream} at which its bytes come in; only the owner's thread comes here. */
public interface BodyWriter {

    /** What a feed asks of the side that sends; called from inside the feed's and the flow's calls. */
    interface Producer {

        /** So many bytes more may come than came until now; what is on its way may go over that a little. */
        void grantCapacity(int bytes);

        /** No more is wanted. */
        void cancel();
    }

    BodyStream stream();

    /** Takes all of it, or ends the flow. */
    void write(ByteBuffer part);

    /** All has come. */
    void complete();

    /** The rest never comes, or nobody needs what came: whoever reads is cut short, and all is let go. */
    void abort();
}
