package peppergauge.plugin.abi;

import java.util.List;
import peppergauge.request.Message;

/**
 * What a plug-in is told of a session.
 *
 * @param key the path's last part, without the query; may be empty
 * @param path with the query
 * @param headers those that the file lets it read, names in lower case
 * @param remainingMs until the deadline, ms
 * @param bodyBytes of the body, which itself is not handed over; -1 where it is passed on as it comes and only its
 *     end tells
 */
public record SessionView(
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

    public SessionView {
        headers = List.copyOf(headers);
    }
}
