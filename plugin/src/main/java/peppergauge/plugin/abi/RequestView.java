package peppergauge.plugin.abi;

import java.util.List;
import peppergauge.request.Message;

/**
 * A request as a plug-in sees it.
 *
 * @param key last segment of the path without the query; may be empty
 * @param path path with the query
 * @param headers headers that the operator file lets the plug-in read, with names in lower case
 * @param remainingMs time until the deadline, ms
 * @param bodyBytes length of the body, which itself is not passed; -1 if the body is streamed and its length is
 *     unknown
 */
public record RequestView(
        String className,
        String tenant,
        String key,
        String method,
        String path,
        List<Message.Field> headers,
        double remainingMs,
        int bodyBytes,
        boolean clientRetry,
        LocalTime time) {

    public RequestView {
        headers = List.copyOf(headers);
    }
}
