package peppergauge.session;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.Balancer;
import peppergauge.decision.Balancer.AttemptEnded;
import peppergauge.decision.Balancer.Effect;
import peppergauge.decision.Balancer.Group;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.decision.Balancer.RequestArrived;
import peppergauge.decision.Balancer.RequestClass;
import peppergauge.decision.Balancer.Send;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.overload.Overload;
import peppergauge.overload.OverloadSettings;

/**
 * A request's long body is let go while a second attempt waits for its connection, which is then refused: what its
 * client is told depends on whether the first attempt may have run.
 */
public class LongBodyDenialTest {

    private final HandLoop loop = new HandLoop(1_000);

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {Effect.KEYED, Group.ZONE, Outcome.BROKEN, "failed"},
            {Effect.KEYED, Group.CELL, Outcome.TIMED_OUT, "failed"},
            {Effect.KEYED, Group.ZONE, Outcome.UNREACHABLE, "denied"},
            {Effect.KEYED, Group.ALL, Outcome.BROKEN, "denied"},
            {Effect.SAFE, Group.ALL, Outcome.BROKEN, "denied"},
            {Effect.UNSAFE, Group.ALL, Outcome.UNREACHABLE, "denied"},
        };
    }

    @Test(dataProvider = "ends")
    public void isDeniedOnlyWhereTryingAgainIsSafe(Effect effect, Group group, Outcome first, String told) {
        List<Consumer<Backend.Result>> attempts = new ArrayList<>();
        List<String> answers = new ArrayList<>();
        LostBody body = new LostBody();
        Sessions sessions = sessions(new RequestClass(100, 300, 1, 0, effect, group, 500), attempts);
        sessions.listed(new ServerTable(1, true, List.of(row("s0"), row("s1"))));
        sessions.open(
                new Opening(
                        "r", 0, -1, 300, false, loop.nowMs(), new Message("POST", "/r", List.of(), new byte[0], body)),
                new RecordedAnswers(answers));
        loop.runTasks();
        attempts.get(0).accept(new Backend.Result(first));
        loop.runTasks();
        body.kept = false;
        attempts.get(1).accept(new Backend.Result(Outcome.UNREACHABLE));
        loop.runTasks();
        assertEquals(answers, List.of(told));
    }

    /** Over a module that sends to one server and then to the other. */
    private Sessions sessions(RequestClass kind, List<Consumer<Backend.Result>> attempts) {
        Balancer module = (now, event, actions) -> {
            if (event instanceof RequestArrived arrived) {
                actions.accept(new Send(arrived.id(), "s0", 100));
            } else if (event instanceof AttemptEnded ended && ended.attempt() == 0) {
                actions.accept(new Send(ended.id(), "s1", 100));
            }
        };
        return new Sessions(
                module,
                new Backend() {
                    @Override
                    public Exchange send(Server server, Message message, double untilMs, Sender sender) {
                        attempts.add(sender::ended);
                        return new Written();
                    }

                    @Override
                    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
                        throw new IllegalStateException("no probe is asked for");
                    }

                    @Override
                    public void forget(Server server) {
                        // Nothing is kept here.
                    }
                },
                loop,
                loop,
                new Overload<>(OverloadSettings.of(List.of(1.0), 0.1, true, 1_500, 20, 1)),
                List.of(kind),
                50);
    }

    private static ServerTable.Row row(String server) {
        return new ServerTable.Row(new ServerEntry(server, 0, 0, ServerState.READY, 0), server + ":1");
    }

    private static final class Written implements Backend.Exchange {

        @Override
        public boolean withdraw() {
            return false;
        }

        @Override
        public boolean abandon() {
            return false;
        }
    }

    private static final class LostBody implements Flow {

        private boolean kept = true;

        @Override
        public long length() {
            return 100_000;
        }

        @Override
        public boolean fromStart() {
            return kept;
        }

        @Override
        public Reading read(Runnable more) {
            throw new IllegalStateException("nobody reads here");
        }

        @Override
        public void watch(Watcher watcher) {
            // Nothing happens to it but its loss.
        }

        @Override
        public void drop() {
            kept = false;
        }
    }
}
