package peppergauge.request;

import java.util.List;

/** A client's end that writes down what it is told, a word for each answer. */
public record RecordingResponseListener(List<String> responses) implements ResponseListener {

    @Override
    public void onResponse(Message answer) {
        responses.add("served");
    }

    @Override
    public void onRejected(double retryAfterMs) {
        responses.add("denied");
    }

    @Override
    public void onFailed(boolean late) {
        responses.add("failed");
    }

    @Override
    public void onDuplicateId() {
        responses.add("duplicate");
    }
}
