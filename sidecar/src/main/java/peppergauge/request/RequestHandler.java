package peppergauge.request;

/** Handles the requests that frontends receive: the dispatcher itself, or an interceptor in front of it. */
public interface RequestHandler {

    /** Handles a request; the listener receives exactly one response. From any thread. */
    void handle(IncomingRequest request, ResponseListener listener);

    /**
     * The client of a request has disconnected; it gets no response. From any thread.
     *
     * @param listener of the request; ignored if the request with this id has another
     */
    void cancel(String id, ResponseListener listener);
}
