package peppergauge.lab.nomad;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A request to the API.
 *
 * @param kind list, stream, allocation, node, checks or other
 * @param query values of each parameter, in order
 */
public record ApiRequest(String path, String kind, Map<String, List<String>> query) {

    private static final long MAX_WAIT_MS = 600_000;

    /**
     * Parses a request target.
     *
     * @param target path and query as in the request line
     */
    public static ApiRequest of(String target) {
        String path = target.replaceAll("\\?.*", "");
        return new ApiRequest(path, kind(path), query(target));
    }

    private static String kind(String path) {
        return path.startsWith("/v1/service/")
                ? "list"
                : path.equals("/v1/event/stream")
                        ? "stream"
                        : path.startsWith("/v1/allocation/")
                                ? "allocation"
                                : path.startsWith("/v1/node/") ? "node" : path.endsWith("/checks") ? "checks" : "other";
    }

    private static Map<String, List<String>> query(String target) {
        Map<String, List<String>> query = new HashMap<>();
        int mark = target.indexOf('?');
        for (String each : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            String[] pair = each.split("=", 2);
            query.computeIfAbsent(pair[0], fresh -> new ArrayList<>())
                    .add(pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    /** Returns the service whose list is requested. */
    public String service() {
        return path.substring("/v1/service/".length());
    }

    /** Returns the index that a blocking query waits for or a stream starts from; 0 if none is given. */
    public long index() {
        return Long.parseLong(first("index", "0"));
    }

    /** Returns the maximum wait of a blocking query, in ms. */
    public long waitMs() {
        return Math.min(MAX_WAIT_MS, Long.parseLong(first("wait", "300000ms").replace("ms", "")));
    }

    private String first(String name, String defaultValue) {
        return query.getOrDefault(name, List.of(defaultValue)).get(0);
    }

    /** Returns whether the requested stream includes an event. */
    public boolean wants(Cluster.Event event) {
        for (String topic : query.getOrDefault("topic", List.of("*"))) {
            String[] parts = topic.split(":", 2);
            if (parts[0].equals("*")
                    || parts[0].equals(event.topic())
                            && (parts.length < 2
                                    || parts[1].equals("*")
                                    || parts[1].equals(event.key())
                                    || event.keys().contains(parts[1]))) {
                return true;
            }
        }
        return false;
    }
}
