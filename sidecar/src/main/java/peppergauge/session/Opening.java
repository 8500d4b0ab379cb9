package peppergauge.session;

/** A session as the frontend hands it over, stamped when its last byte was read. */
public record Opening(
        String id,
        int requestClass,
        int tenant,
        double remainingMs,
        boolean clientRetry,
        double arrivedMs,
        Message message) {

    public double deadlineMs() {
        return arrivedMs + remainingMs;
    }

    /** The same with a body that came in after its head, until then. */
    public Opening with(Flow body, double nowMs) {
        return new Opening(id, requestClass, tenant, remainingMs, clientRetry, nowMs, message.with(body));
    }
}
