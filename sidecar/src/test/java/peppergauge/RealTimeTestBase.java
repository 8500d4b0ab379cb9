package peppergauge;

import java.lang.reflect.InvocationTargetException;
import org.testng.IHookCallBack;
import org.testng.IHookable;
import org.testng.IRetryAnalyzer;
import org.testng.ITestResult;

/**
 * Tests on real sockets and clocks. Where the machine let a thread wait that only sleeps, how long things took says
 * nothing of the program: what failed then is tried again, twice at most, and the last verdict counts. What is wrong
 * fails each time; no failure is passed over.
 */
public abstract class RealTimeTestBase implements IHookable {

    private static final double MOST_LATE_MS = 100;
    private static final double MOST_LATE_SHARE = 0.2;
    private static final String STARVED = "starved";

    /** How late a thread that only sleeps was: at the worst, and in all as a share of the time. */
    private static final class Lateness {

        private final long beginNs = System.nanoTime();
        private volatile double worstMs;
        private volatile double allMs;
        private volatile boolean over;

        Lateness() {
            ScriptedServer.startDaemonThread(() -> {
                while (!over) {
                    long startNs = System.nanoTime();
                    Thread.sleep(5);
                    double lateMs = (System.nanoTime() - startNs) / 1e6 - 5;
                    worstMs = Math.max(worstMs, lateMs);
                    allMs += lateMs;
                }
            });
        }

        private double share() {
            return allMs / ((System.nanoTime() - beginNs) / 1e6);
        }
    }

    /** Of one test and its row. */
    public static final class AgainWhereStarved implements IRetryAnalyzer {

        private static final int MOST = 2;

        private int tries;

        @Override
        public boolean retry(ITestResult result) {
            return result.getAttribute(STARVED) != null && ++tries <= MOST;
        }
    }

    @Override
    public final void run(IHookCallBack test, ITestResult result) {
        result.getMethod().setRetryAnalyzerClass(AgainWhereStarved.class);
        Lateness lateness = new Lateness();
        try {
            result.getMethod().getConstructorOrMethod().getMethod().invoke(result.getInstance(), test.getParameters());
            result.setStatus(ITestResult.SUCCESS);
        } catch (InvocationTargetException failed) {
            String machine = "";
            if (lateness.worstMs > MOST_LATE_MS || lateness.share() > MOST_LATE_SHARE) {
                machine = "; the machine let a thread wait for " + lateness.worstMs + " ms, and for " + lateness.share()
                        + " of the time";
                result.setAttribute(STARVED, machine);
            }
            throw new AssertionError(failed.getCause().getMessage() + machine, failed.getCause());
        } catch (IllegalAccessException hidden) {
            throw new IllegalStateException(hidden);
        } finally {
            lateness.over = true;
        }
    }
}
