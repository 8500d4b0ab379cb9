package peppergauge.membership;

import java.util.ArrayList;
import java.util.List;

/** Collects the reasons of one decision; bounded, for a list of thousands may change all of them at once. */
final class Reasons {

    static final int MOST = 50;

    private final List<Reason> all = new ArrayList<>();
    private int more;

    void add(Reason.Kind kind, String source, String server, String text) {
        if (all.size() < MOST) {
            all.add(new Reason(kind, source, server, text));
        } else {
            more++;
        }
    }

    List<Reason> take() {
        if (more > 0) {
            all.add(new Reason(Reason.Kind.SOURCE, "", "", more + " decisions more of the same moment"));
        }
        return all;
    }
}
