package peppergauge.membership;

import java.util.List;
import java.util.Optional;
import peppergauge.session.ServerTable;

/**
 * What came of a piece of news.
 *
 * @param table the rows that changed; empty if none did
 * @param reasons for each decision, in order
 */
public record Decided(Optional<ServerTable> table, List<Reason> reasons) {

    public Decided {
        reasons = List.copyOf(reasons);
    }
}
