package peppergauge.session;

import java.nio.ByteBuffer;

/** The end of a {@link Flow} at which its bytes come in; only the owner's thread comes here. */
public interface Feed {

    /** What a feed asks of the side that sends; called from inside the feed's and the flow's calls. */
    interface Sender {

        /** So many bytes more may come than came until now; what is on its way may go over that a little. */
        void room(int bytes);

        /** No more is wanted. */
        void stop();
    }

    Flow flow();

    /** Takes all of it, or ends the flow. */
    void arrived(ByteBuffer part);

    /** All has come. */
    void ended();

    /** The rest never comes, or nobody needs what came: whoever reads is cut short, and all is let go. */
    void broken();
}
