package peppergauge.plugin;

import peppergauge.request.Message;
import peppergauge.request.ResponseListener;

/** Passes the one answer on, and says which it was. */
final class Watched implements ResponseListener {

    /** Told once, after the client was. */
    interface Told {

        /** @param status as the client sees it */
        void answered(int status);
    }

    private final ResponseListener client;
    private final Told told;

    Watched(ResponseListener client, Told told) {
        this.client = client;
        this.told = told;
    }

    @Override
    public void onResponse(Message answer) {
        client.onResponse(answer);
        told.answered(200);
    }

    @Override
    public void onRejected(double retryAfterMs) {
        client.onRejected(retryAfterMs);
        told.answered(503);
    }

    @Override
    public void onFailed(boolean late) {
        client.onFailed(late);
        told.answered(late ? 504 : 502);
    }

    @Override
    public boolean isClientWaiting() {
        return client.isClientWaiting();
    }

    @Override
    public void onDuplicateId() {
        client.onDuplicateId();
        told.answered(409);
    }
}
