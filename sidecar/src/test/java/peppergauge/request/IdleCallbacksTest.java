package peppergauge.request;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class IdleCallbacksTest {

    @Test
    public void runsEachCallbackOnceWhenIdleDespiteException() {
        boolean[] isIdle = {false};
        List<String> calls = new ArrayList<>();
        IdleCallbacks callbacks = new IdleCallbacks(() -> isIdle[0]);
        callbacks.add(() -> {
            throw new IllegalStateException("expected by the test");
        });
        callbacks.add(() -> calls.add("second"));
        callbacks.runIfIdle();
        assertEquals(calls, List.of());
        isIdle[0] = true;
        callbacks.runIfIdle();
        callbacks.runIfIdle();
        assertEquals(calls, List.of("second"));
    }
}
