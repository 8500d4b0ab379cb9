package peppergauge.request;

/** A request that was received and is neither admitted nor rejected yet, and the listener that is owed its response. */
public record PendingRequest(IncomingRequest request, ResponseListener listener) {}
