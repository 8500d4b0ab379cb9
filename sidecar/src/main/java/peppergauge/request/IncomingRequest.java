package peppergauge.request;

/** A session as the frontend hands it over, stamped when its last byte was read. */
public record IncomingRequest(
        String id,
        int requestClass,
        int tenant,
        double timeoutMs,
        boolean clientRetry,
        double arrivedMs,
        Message message) {

    public double deadlineMs() {
        return arrivedMs + timeoutMs;
    }

    /** The same with a body that came in after its head, until then. */
    public IncomingRequest with(BodyStream body, double nowMs) {
        return new IncomingRequest(id, requestClass, tenant, timeoutMs, clientRetry, nowMs, message.with(body));
    }
}
