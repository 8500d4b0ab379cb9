package peppergauge.plugin;

import peppergauge.request.Message;
import peppergauge.request.ResponseListener;

/** Forwards the response of one request to the client, then reports its HTTP status. Event-loop thread only. */
final class ObservedResponseListener implements ResponseListener {

    /** Called once, after the client's listener. */
    interface StatusCallback {

        /** @param status the HTTP status that the client gets */
        void onStatus(int status);
    }

    private final ResponseListener client;
    private final StatusCallback callback;

    ObservedResponseListener(ResponseListener client, StatusCallback callback) {
        this.client = client;
        this.callback = callback;
    }

    @Override
    public void onResponse(Message response) {
        client.onResponse(response);
        callback.onStatus(200);
    }

    @Override
    public void onRejected(double retryAfterMs) {
        client.onRejected(retryAfterMs);
        callback.onStatus(503);
    }

    @Override
    public void onFailed(boolean timedOut) {
        client.onFailed(timedOut);
        callback.onStatus(timedOut ? 504 : 502);
    }

    @Override
    public boolean isClientWaiting() {
        return client.isClientWaiting();
    }

    @Override
    public void onDuplicateId() {
        client.onDuplicateId();
        callback.onStatus(409);
    }
}
