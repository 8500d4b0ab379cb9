package peppergauge.plugin;

import java.util.function.BiConsumer;
import peppergauge.plugin.abi.AnswerView;
import peppergauge.plugin.box.Box;
import peppergauge.plugin.box.Fault;
import peppergauge.plugin.crew.Job;

/** Tells a plug-in of an answer, or, without one, that time passes. Nobody waits for it. */
final class AnswerCall implements Job {

    private final AnswerView answer;
    private final BiConsumer<String, Double> outcome;

    /** @param answer null for a tick; {@code outcome} takes why it failed, or null, and the ms that it took */
    AnswerCall(AnswerView answer, BiConsumer<String, Double> outcome) {
        this.answer = answer;
        this.outcome = outcome;
    }

    @Override
    public void run(Box box) throws Fault {
        if (answer == null) {
            box.onTick();
        } else {
            box.onAnswer(answer);
        }
    }

    @Override
    public void ended(double tookMs) {
        outcome.accept(null, tookMs);
    }

    @Override
    public void failed(String why, double tookMs) {
        outcome.accept(why, tookMs);
    }
}
