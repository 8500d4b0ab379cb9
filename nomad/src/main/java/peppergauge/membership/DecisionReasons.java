package peppergauge.membership;

import java.util.ArrayList;
import java.util.List;

/** Collects a bounded number of reasons for the decisions of one update. */
final class DecisionReasons {

    static final int MAX_REASONS = 50;

    private final List<DecisionReason> reasons = new ArrayList<>();
    private int omitted;

    void add(DecisionReason.Kind kind, String source, String server, String text) {
        if (reasons.size() < MAX_REASONS) {
            reasons.add(new DecisionReason(kind, source, server, text));
        } else {
            omitted++;
        }
    }

    /** Returns the reasons in order; if any were omitted, the last one states how many. */
    List<DecisionReason> toList() {
        if (omitted > 0) {
            reasons.add(new DecisionReason(
                    DecisionReason.Kind.SOURCE, "", "", omitted + " decisions more of the same moment"));
        }
        return reasons;
    }
}
