package peppergauge.session;

import java.util.List;

/** A client's end that writes down what it is told, a word for each answer. */
public record RecordedAnswers(List<String> answers) implements Frontend {

    @Override
    public void served(Message answer) {
        answers.add("served");
    }

    @Override
    public void denied(double retryAfterMs) {
        answers.add("denied");
    }

    @Override
    public void failed(boolean late) {
        answers.add("failed");
    }

    @Override
    public void duplicate() {
        answers.add("duplicate");
    }
}
