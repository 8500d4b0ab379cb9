package peppergauge.request;

import java.util.List;

/** A client's end that writes down what it is told, a word for each answer. */
public record RecordedAnswers(List<String> answers) implements ResponseListener {

    @Override
    public void onResponse(Message answer) {
        answers.add("served");
    }

    @Override
    public void onRejected(double retryAfterMs) {
        answers.add("denied");
    }

    @Override
    public void onFailed(boolean late) {
        answers.add("failed");
    }

    @Override
    public void onDuplicateId() {
        answers.add("duplicate");
    }
}
