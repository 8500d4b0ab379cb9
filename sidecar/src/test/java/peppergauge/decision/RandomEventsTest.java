package peppergauge.decision;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import peppergauge.decision.Balancer.Action;
import peppergauge.decision.Balancer.AttemptEnded;
import peppergauge.decision.Balancer.ClientLeft;
import peppergauge.decision.Balancer.Effect;
import peppergauge.decision.Balancer.Fail;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.decision.Balancer.Refuse;
import peppergauge.decision.Balancer.RequestArrived;
import peppergauge.decision.Balancer.Send;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;

/** Seeded random events; the rules are asserted on every action. */
class RandomEventsTest {

    private static final class Watched {
        Effect effect;
        double deadlineMs;
        boolean over;
        int outCount;
        int zone = -1;
        final List<Send> sends = new ArrayList<>();
        final List<Boolean> ended = new ArrayList<>();
        final List<Boolean> maybe = new ArrayList<>();
        final List<Double> sentMs = new ArrayList<>();
    }

    private final Map<String, Watched> requests = new HashMap<>();
    private final Set<String> forbidden = new HashSet<>();
    private final List<String> outstanding = new ArrayList<>();
    private Scripted scripted;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void theRulesHoldOnEveryAction(long seed) {
        Random random = new Random(seed);
        scripted = new Scripted(Scripted.settings(seed % 2 == 0, true, List.of()), seed);
        scripted.watcher = this::check;
        scripted.list(true, Scripted.servers(6));
        for (int step = 0; step < 4_000; step++) {
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> arrive("r" + step, random);
                case 3, 4, 5 -> end(random);
                case 6 -> scripted.pass(random.nextInt(60));
                default -> rarely(random);
            }
        }
        scripted.pass(2_000);
        for (Map.Entry<String, Watched> request : requests.entrySet()) {
            assertTrue(request.getValue().over, "lost " + request.getKey());
        }
    }

    private void arrive(String id, Random random) {
        Watched watched = new Watched();
        int requestClass = random.nextInt(3);
        watched.effect = Effect.values()[requestClass];
        double budget = 200 + random.nextInt(600);
        watched.deadlineMs = scripted.nowMs + budget;
        requests.put(id, watched);
        scripted.give(new RequestArrived(id, requestClass, 0, budget, false));
    }

    private void end(Random random) {
        if (outstanding.isEmpty()) {
            return;
        }
        String[] key = outstanding.remove(random.nextInt(outstanding.size())).split("/");
        int attempt = Integer.parseInt(key[1]);
        Watched watched = requests.get(key[0]);
        Outcome outcome = random.nextInt(3) > 0 ? Outcome.SUCCESS
                : Outcome.values()[random.nextInt(Outcome.values().length)];
        watched.ended.set(attempt, true);
        watched.maybe.set(attempt, !outcome.neverRan());
        watched.outCount--;
        boolean done = outcome == Outcome.SUCCESS || watched.over;
        watched.over |= outcome == Outcome.SUCCESS;
        scripted.give(new AttemptEnded(key[0], attempt, watched.sends.get(attempt).server(), outcome,
                scripted.nowMs - watched.sentMs.get(attempt), done, null));
    }

    private void rarely(Random random) {
        String server = "s" + random.nextInt(6);
        if (random.nextInt(10) > 0) {
            return;
        }
        ServerState state = ServerState.values()[random.nextInt(3)];
        int number = Integer.parseInt(server.substring(1));
        if (state == ServerState.READY) {
            forbidden.remove(server);
        } else {
            forbidden.add(server);
        }
        scripted.list(false, List.of(new ServerEntry(server, number % 3, number % 3, state,
                random.nextBoolean() ? scripted.nowMs : 0)));
        if (random.nextInt(3) == 0 && !requests.isEmpty()) {
            String id = requests.keySet().stream().sorted().skip(random.nextInt(requests.size())).findFirst()
                    .orElseThrow();
            if (!requests.get(id).over) {
                requests.get(id).over = true;
                scripted.give(new ClientLeft(id));
            }
        }
    }

    private void check(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send) {
                checkSend(send, requests.get(send.id()));
            } else if (action instanceof Refuse refuse) {
                Watched watched = requests.get(refuse.id());
                assertTrue(watched.effect == Effect.SAFE || !watched.maybe.contains(true), "refused what may have run");
                finish(watched);
            } else if (action instanceof Fail fail) {
                finish(requests.get(fail.id()));
            }
        }
    }

    private void finish(Watched watched) {
        assertFalse(watched.over, "a second final answer");
        assertTrue(scripted.nowMs <= watched.deadlineMs + 5, "answered after the deadline");
        watched.over = true;
    }

    private void checkSend(Send send, Watched watched) {
        assertFalse(watched.over, "sent after the final answer");
        assertFalse(forbidden.contains(send.server()), "sent to a server that drains or is gone");
        assertTrue(watched.sends.size() < 4, "too many attempts");
        int zone = Integer.parseInt(send.server().substring(1)) % 3;
        if (watched.maybe.contains(true) && watched.effect != Effect.SAFE) {
            assertEquals(Effect.KEYED, watched.effect, "an unsafe request sent twice");
            assertEquals(watched.zone, zone, "a keyed request left its group");
        } else {
            watched.zone = zone;
        }
        assertEquals(0, watched.outCount, "two attempts out");
        watched.outCount++;
        watched.sends.add(send);
        watched.ended.add(false);
        watched.maybe.add(true);
        watched.sentMs.add(scripted.nowMs);
        outstanding.add(send.id() + "/" + (watched.sends.size() - 1));
    }
}
