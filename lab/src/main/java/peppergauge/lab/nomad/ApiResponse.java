package peppergauge.lab.nomad;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A complete response of the API, independent of the transport.
 *
 * @param index X-Nomad-Index; 0 for none
 * @param lastContactMs X-Nomad-LastContact
 * @param retryAfterS 0 for none
 */
public record ApiResponse(
        int status, long index, boolean knownLeader, long lastContactMs, long retryAfterS, String body) {

    /** How many changes an outdated list is behind. */
    private static final int STALE_CHANGES = 2;

    /** X-Nomad-LastContact of a server without leader. */
    private static final long LAST_CONTACT_MS = 120_000;

    private static final long MALFORMED_BODY_INDEX = 99_999;
    private static final int NESTED_LISTS = 1_000;

    static ApiResponse error(int status, String text) {
        return new ApiResponse(status, 0, true, 0, status == 429 ? 1 : 0, text);
    }

    private static ApiResponse malformed(String body) {
        return new ApiResponse(200, MALFORMED_BODY_INDEX, true, 0, 0, body);
    }

    /** Returns the response to any request under a fault; empty if the fault acts in another way. */
    public static Optional<ApiResponse> faultResponse(ApiFault fault) {
        return Optional.ofNullable(
                switch (fault) {
                    case TOO_MANY -> error(429, "too many requests");
                    case ERROR -> error(500, "No cluster leader");
                    case FORBIDDEN -> error(403, "Permission denied");
                    case GARBAGE -> malformed("[{\"ID\":\"x\",\"Address\":]]");
                    case DEEP -> malformed("[".repeat(NESTED_LISTS) + "]".repeat(NESTED_LISTS));
                    default -> null;
                });
    }

    /** Returns a list of registrations, altered by a fault. */
    public static ApiResponse list(Cluster cluster, String service, ApiFault fault) {
        boolean old = fault == ApiFault.OLDER || fault == ApiFault.UNSURE;
        Cluster.Listing listing = old ? cluster.older(service, STALE_CHANGES) : cluster.list(service);
        List<Map<String, Object>> list = new ArrayList<>(fault == ApiFault.EMPTY ? List.of() : listing.registrations());
        if (fault == ApiFault.DUPLICATES) {
            list.addAll(listing.registrations());
        }
        long index = fault == ApiFault.INDEX_BACK ? 3 + listing.index() % 3 : listing.index();
        boolean hasLeader = fault != ApiFault.UNSURE;
        return new ApiResponse(200, index, hasLeader, hasLeader ? 0 : LAST_CONTACT_MS, 0, JsonText.of(list));
    }

    /** Returns an allocation, a node, or the checks of an allocation. */
    public static ApiResponse object(Cluster cluster, ApiRequest request) {
        String path = request.path();
        Map<String, Object> found = switch (request.kind()) {
            case "allocation" -> cluster.allocation(path.substring("/v1/allocation/".length()));
            case "node" -> cluster.node(path.substring("/v1/node/".length()));
            case "checks" -> cluster.checks(path.split("/")[4]);
            default -> null;
        };
        return found == null ? error(404, "not found") : new ApiResponse(200, 0, true, 0, 0, JsonText.of(found));
    }
}
