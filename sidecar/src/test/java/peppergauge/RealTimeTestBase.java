package peppergauge;

import java.lang.reflect.InvocationTargetException;
import org.testng.IHookCallBack;
import org.testng.IHookable;
import org.testng.IRetryAnalyzer;
import org.testng.ITestResult;

/**
 * Base class of tests on real sockets and clocks. If a thread that only sleeps was delayed by the machine, durations
 * say nothing about the program: a test that failed under this condition is repeated, at most twice, and the last
 * result counts. A real fault fails each time; no failure is ignored.
 */
public abstract class RealTimeTestBase implements IHookable {

    private static final double MAX_DELAY_MS = 100;
    private static final double MAX_DELAY_SHARE = 0.2;
    private static final long SLEEP_MS = 5;
    private static final String STARVED = "starved";

    /** Measures the delay of a thread that only sleeps: the maximum, and the total as a share of the elapsed time. */
    private static final class SleepDelay {

        private final long beginNs = System.nanoTime();
        private volatile double maxMs;
        private volatile double totalMs;
        private volatile boolean ended;

        SleepDelay() {
            ScriptedServer.startDaemonThread(() -> {
                while (!ended) {
                    long startNs = System.nanoTime();
                    Thread.sleep(SLEEP_MS);
                    double delayMs = (System.nanoTime() - startNs) / 1e6 - SLEEP_MS;
                    maxMs = Math.max(maxMs, delayMs);
                    totalMs += delayMs;
                }
            });
        }

        private double share() {
            return totalMs / ((System.nanoTime() - beginNs) / 1e6);
        }
    }

    /** Repeats one test with one row of data if the test was starved of CPU. */
    public static final class RetryIfStarved implements IRetryAnalyzer {

        private static final int MAX_RETRIES = 2;

        private int retries;

        @Override
        public boolean retry(ITestResult result) {
            return result.getAttribute(STARVED) != null && ++retries <= MAX_RETRIES;
        }
    }

    @Override
    public final void run(IHookCallBack test, ITestResult result) {
        result.getMethod().setRetryAnalyzerClass(RetryIfStarved.class);
        SleepDelay delay = new SleepDelay();
        try {
            result.getMethod().getConstructorOrMethod().getMethod().invoke(result.getInstance(), test.getParameters());
            result.setStatus(ITestResult.SUCCESS);
        } catch (InvocationTargetException failed) {
            String starvation = "";
            if (delay.maxMs > MAX_DELAY_MS || delay.share() > MAX_DELAY_SHARE) {
                starvation = "; the machine delayed a sleeping thread by up to " + delay.maxMs + " ms, and for "
                        + delay.share() + " of the time";
                result.setAttribute(STARVED, starvation);
            }
            throw new AssertionError(failed.getCause().getMessage() + starvation, failed.getCause());
        } catch (IllegalAccessException inaccessible) {
            throw new IllegalStateException(inaccessible);
        } finally {
            delay.ended = true;
        }
    }
}
