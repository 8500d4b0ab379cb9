package peppergauge.plugin;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.plugin.box.Counters;
import peppergauge.plugin.box.Host;
import peppergauge.plugin.box.Store;
import peppergauge.plugin.crew.Guard;
import peppergauge.plugin.rules.OnFailure;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RecordingResponseListener;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;
import peppergauge.request.Scheduler;
import peppergauge.settings.SettingsNames;

/**
 * An exception beside the plug-ins: in the clock, a timer, the list of classes, the sessions. What happened: the loop
 * logged it ("bug: ... IllegalStateException") and went on; the session was nobody's, no deadline was set for it, and
 * its client waited in vain. The plug-ins' threads of a former plan did not end either, since one session still thought.
 */
public class PluginIntakeTest {

    private static final int NO_SUCH_CLASS = 7;

    /** The loop: a bug in one task does not end it. */
    private static final class Loop implements Scheduler {

        private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
        private boolean refusesTimers;

        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        @Override
        public ScheduledTask schedule(double ms, Runnable task) {
            if (refusesTimers) {
                throw new IllegalStateException("no timer");
            }
            return () -> {};
        }

        private void run(Runnable task) {
            try {
                task.run();
            } catch (IllegalStateException | IndexOutOfBoundsException logged) {
                // As the loop does.
            }
        }

        /** Until the client has an answer, or nothing comes any more. */
        private void runUntil(List<String> answers) throws InterruptedException {
            for (Runnable task = next(); answers.isEmpty() && task != null; task = next()) {
                run(task);
            }
        }

        private Runnable next() throws InterruptedException {
            return tasks.poll(1, TimeUnit.SECONDS);
        }
    }

    /** Fails at its call of this number. */
    private static DoubleSupplier clock(int failing) {
        AtomicInteger calls = new AtomicInteger();
        return () -> {
            if (calls.incrementAndGet() == failing) {
                throw new IllegalStateException("no clock");
            }
            return 1_000;
        };
    }

    @DataProvider
    public Object[][] bugs() {
        return new Object[][] {
            // The second call of the clock is the plug-in's own thread's, and is contained there.
            {"the clock, as it is asked", clock(1), 0, false, false, "rejected"},
            {"the clock, as its verdict comes", clock(3), 0, false, false, "rejected"},
            {"its timer", clock(0), 0, true, false, "rejected"},
            {"the list of classes", clock(0), NO_SUCH_CLASS, false, false, "rejected"},
            {"the sessions", clock(0), 0, false, true, "failed"},
        };
    }

    @Test(dataProvider = "bugs")
    public void aBugBesideThePluginsAnswersItsClient(
            String which,
            DoubleSupplier clock,
            int requestClass,
            boolean refusesTimers,
            boolean sessionsFail,
            String answer)
            throws Exception {
        Loop loop = new Loop();
        loop.refusesTimers = refusesTimers;
        RequestHandler sessions = new RequestHandler() {
            @Override
            public void handle(IncomingRequest opening, ResponseListener frontend) {
                if (sessionsFail) {
                    throw new IllegalStateException("no sessions");
                }
            }

            @Override
            public void cancel(String id, ResponseListener frontend) {}
        };
        Installed plugin = Installed.start(
                Specs.of("p", Hostile.good(), OnFailure.OPEN),
                new Host(Map.of(), () -> 1_000, () -> 1, new Counters(), new Store(1 << 16), text -> {}),
                new Guard());
        PluginIntake intake = new PluginIntake(
                new PluginIntake.Place(sessions, loop, () -> true, clock),
                new SettingsNames(List.of("read"), List.of(), List.of()),
                new Limits(1, false, false, false, false, 0, false, 0),
                new Attempts((now, event, actions) -> {}, List.of()));
        intake.begin(new Plan(List.of(plugin), List.of("read")));
        List<String> answers = new ArrayList<>();
        loop.run(() -> intake.handle(
                new IncomingRequest(
                        "a",
                        requestClass,
                        0,
                        900,
                        false,
                        1_000,
                        new Message("GET", "/read/k", List.of(), new byte[0], null)),
                new RecordingResponseListener(answers)));
        loop.runUntil(answers);
        assertEquals(answers, List.of(answer), which);
        // The plan's threads end once no session thinks any more.
        loop.run(() -> intake.install(Plan.EMPTY));
        loop.runUntil(new ArrayList<>());
        assertEquals(plugin.awaitEnd(), true, which + ": a session still thinks");
    }
}
