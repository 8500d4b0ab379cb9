package peppergauge.lab.rig;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;
import peppergauge.lab.wire.Loop;

public class CalmTest {

    private static void busy(Loop loop, AtomicBoolean goesOn) {
        try {
            Thread.sleep(150);
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
        if (goesOn.get()) {
            loop.post(() -> busy(loop, goesOn));
        }
    }

    /** On a machine that lets the free loop wait as well, the wait is longer; it ends all the same. */
    @Test
    public void aLoopThatIsNeverFreeIsNotCalmAndAFreeOneIs() throws Exception {
        AtomicBoolean goesOn = new AtomicBoolean(true);
        try (Loop loop = Loop.sleeping("calm")) {
            loop.post(() -> busy(loop, goesOn));
            loop.start();
            assertFalse(Calm.await(loop, 1_000_000_000L));
            goesOn.set(false);
            assertTrue(Calm.await(loop, 120_000_000_000L));
        }
    }
}
