package peppergauge.request;

import java.util.List;

/** Records the responses to a request, each as one word. */
public record RecordingResponseListener(List<String> responses) implements ResponseListener {

    @Override
    public void onResponse(Message response) {
        responses.add("response");
    }

    @Override
    public void onRejected(double retryAfterMs) {
        responses.add("rejected");
    }

    @Override
    public void onFailed(boolean timedOut) {
        responses.add("failed");
    }

    @Override
    public void onDuplicateId() {
        responses.add("duplicate");
    }
}
