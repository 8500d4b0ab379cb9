package peppergauge.request;

/**
 * A request as a frontend has received it.
 *
 * @param id unique among the requests of a few seconds
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings, -1 if unknown
 * @param timeoutMs how long the client waits, from {@code arrivedMs}
 * @param clientRetry whether the client marked it as a retry
 * @param arrivedMs when its last byte arrived, by the {@link Clock}
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
