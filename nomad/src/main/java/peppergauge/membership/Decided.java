package peppergauge.membership;

import java.util.List;
import java.util.Optional;
import peppergauge.request.EndpointUpdate;

/**
 * What came of a piece of news.
 *
 * @param table the rows that changed; empty if none did
 * @param counted whether the news was taken as the source's present word; false for an older list
 * @param reasons for each decision, in order
 */
public record Decided(Optional<EndpointUpdate> table, boolean counted, List<Reason> reasons) {

    public Decided {
        reasons = List.copyOf(reasons);
    }
}
