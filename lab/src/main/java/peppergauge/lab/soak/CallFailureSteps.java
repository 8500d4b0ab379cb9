package peppergauge.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import peppergauge.lab.callfault.CallFault;
import peppergauge.lab.callfault.FailingCalls;

/** Performs the steps of a run in which system calls of the sidecar fail. */
final class CallFailureSteps implements Closeable {

    private final List<SoakStep> steps;
    /** Null if no step lets calls fail, so that such a run needs no compiler. */
    private final FailingCalls calls;

    /** @param steps all steps of the run */
    CallFailureSteps(List<SoakStep> steps) throws IOException, InterruptedException {
        this.steps = steps.stream()
                .filter(step -> step.what() == StepKind.CALLS_FAIL)
                .toList();
        calls = this.steps.isEmpty()
                ? null
                : new FailingCalls(
                        this.steps.stream().map(CallFailureSteps::fault).toList());
    }

    private static CallFault fault(SoakStep step) {
        return CallFault.draw(step.count());
    }

    /** Returns variables for the environment of the sidecar, which listens on the given port. */
    Map<String, String> environment(int listenPort) {
        return calls == null ? Map.of() : calls.environment(listenPort);
    }

    /** Lets calls fail for the duration of the step, and records it. */
    void perform(SoakStep step, CallFailures failures) throws InterruptedException {
        int index = steps.indexOf(step);
        CallFailures.Period period = failures.begin(fault(step));
        calls.start(index);
        try {
            Thread.sleep(step.length().toMillis());
        } finally {
            calls.stop(index);
            period.end();
        }
    }

    @Override
    public void close() throws IOException {
        if (calls != null) {
            calls.close();
        }
    }
}
