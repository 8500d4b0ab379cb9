package peppergauge.lab.nomad;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A whole answer of the API, however it is carried.
 *
 * @param index X-Nomad-Index; 0 for none
 * @param lastContactMs X-Nomad-LastContact
 * @param retryAfterS 0 for none
 */
public record Reply(int status, long index, boolean knownLeader, long lastContactMs, long retryAfterS, String body) {

    /** Registrations that an older list lacks, in changes of the list. */
    private static final int CHANGES_AGO = 2;

    private static final long STALE_MS = 120_000;
    private static final long FAR_INDEX = 99_999;
    private static final int DEEP = 1_000;

    static Reply refusal(int status, String words) {
        return new Reply(status, 0, true, 0, status == 429 ? 1 : 0, words);
    }

    private static Reply nonsense(String body) {
        return new Reply(200, FAR_INDEX, true, 0, 0, body);
    }

    /** What is answered in place of anything, while this is wrong; empty if the fault is another kind of thing. */
    public static Optional<Reply> spoilt(Fault fault) {
        return Optional.ofNullable(
                switch (fault) {
                    case TOO_MANY -> refusal(429, "too many requests");
                    case ERROR -> refusal(500, "No cluster leader");
                    case FORBIDDEN -> refusal(403, "Permission denied");
                    case GARBAGE -> nonsense("[{\"ID\":\"x\",\"Address\":]]");
                    case DEEP -> nonsense("[".repeat(DEEP) + "]".repeat(DEEP));
                    default -> null;
                });
    }

    /** A list, and what a fault makes of it. */
    public static Reply list(Cluster cluster, String service, Fault fault) {
        boolean old = fault == Fault.OLDER || fault == Fault.UNSURE;
        Cluster.Listing listing = old ? cluster.older(service, CHANGES_AGO) : cluster.list(service);
        List<Map<String, Object>> list = new ArrayList<>(fault == Fault.EMPTY ? List.of() : listing.registrations());
        if (fault == Fault.DUPLICATES) {
            list.addAll(listing.registrations());
        }
        long index = fault == Fault.INDEX_BACK ? 3 + listing.index() % 3 : listing.index();
        boolean sure = fault != Fault.UNSURE;
        return new Reply(200, index, sure, sure ? 0 : STALE_MS, 0, Text.of(list));
    }

    /** An allocation, a node, or the checks of an allocation. */
    public static Reply object(Cluster cluster, Question question) {
        String path = question.path();
        Map<String, Object> found = switch (question.kind()) {
            case "allocation" -> cluster.allocation(path.substring("/v1/allocation/".length()));
            case "node" -> cluster.node(path.substring("/v1/node/".length()));
            case "checks" -> cluster.checks(path.split("/")[4]);
            default -> null;
        };
        return found == null ? refusal(404, "not found") : new Reply(200, 0, true, 0, 0, Text.of(found));
    }
}
