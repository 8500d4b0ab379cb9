package peppergauge.session;

/** A session as the frontend hands it over, stamped when its last byte was read. */
public record Opening(String id, int requestClass, int tenant, double remainingMs, boolean clientRetry,
        double arrivedMs, Message message) {

    public double deadlineMs() {
        return arrivedMs + remainingMs;
    }
}
