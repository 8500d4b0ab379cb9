package peppergauge.request;

/**
 * A request as received by a frontend.
 *
 * @param id unique among the open requests and the last 2,048 completed ones; otherwise the request is a duplicate
 * @param requestClass index of the request class in the settings
 * @param tenant index of the tenant in the settings; 0 if the settings have no tenants
 * @param timeoutMs how long the client waits, measured from {@code arrivedMs}
 * @param clientRetry whether the client marked the request as a retry
 * @param arrivedMs the earliest time at which the last byte can have arrived, by the {@link Clock}
 */
public record IncomingRequest(
        String id,
        int requestClass,
        int tenant,
        double timeoutMs,
        boolean clientRetry,
        double arrivedMs,
        Message message) {

    /** When the client stops waiting, by the {@link Clock}. */
    public double deadlineMs() {
        return arrivedMs + timeoutMs;
    }

    /** The same request with a body that was received after its head, complete at {@code nowMs}. */
    public IncomingRequest with(BodyStream body, double nowMs) {
        return new IncomingRequest(id, requestClass, tenant, timeoutMs, clientRetry, nowMs, message.with(body));
    }
}
