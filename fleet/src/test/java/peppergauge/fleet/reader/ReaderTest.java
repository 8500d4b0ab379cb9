package peppergauge.fleet.reader;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.Test;
import peppergauge.decision.Balancer;
import peppergauge.decision.Balancer.Action;
import peppergauge.decision.Balancer.Effect;
import peppergauge.decision.Balancer.Event;
import peppergauge.decision.Balancer.Group;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.decision.Decide;
import peppergauge.promises.Cell;
import peppergauge.promises.Steering;
import peppergauge.session.Clock;
import peppergauge.session.Frontend;
import peppergauge.session.Intake;
import peppergauge.session.Message;
import peppergauge.session.Opening;
import peppergauge.settings.SiteNames;

public class ReaderTest {

    private static final SiteNames NAMES = new SiteNames(List.of("listen", "give"), List.of("radio", "press"),
            List.of("east", "west"));

    // ---- The module ----

    private static Balancer.Settings settings() {
        return new Balancer.Settings(0, 3, 0, 1, false, 0.1,
                List.of(new Balancer.RequestClass(300, 800, 1, 0, Effect.SAFE, Group.ALL, 0)),
                List.of(new Balancer.Tenant(1_000)),
                new Balancer.Limits(4, false, true, false, true, 1_500, false, 15_000),
                new Balancer.Rules(0.12, 24_000, 2.5, 3_000, true, Balancer.Budget.NONE), List.of());
    }

    /** What a module decides over so many random events; timers are carried out in their order. */
    private static List<Action> decided(Balancer module, long seed) {
        Random random = new Random(seed);
        List<Action> actions = new ArrayList<>();
        List<Balancer.Send> out = new ArrayList<>();
        TreeMap<Double, Balancer.SetTimer> timers = new TreeMap<>();
        double now = 1_000;
        List<Event> events = new ArrayList<>();
        List<ServerEntry> servers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            servers.add(new ServerEntry("s" + i, i % 3, 0, ServerState.READY, 0));
        }
        events.add(new Balancer.ServersListed(true, true, servers));
        for (int i = 0; i < 1_500; i++) {
            now += random.nextInt(20);
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                events.add(new Balancer.TimerDue(timers.pollFirstEntry().getValue().token()));
            }
            events.add(new Balancer.RequestArrived("r" + i, 0, 0, 800, false));
            while (!out.isEmpty() && random.nextInt(5) > 0) {
                Balancer.Send send = out.remove(random.nextInt(out.size()));
                events.add(new Balancer.AttemptEnded(send.id(), 0, send.server(), Outcome.SUCCESS,
                        10 + random.nextInt(20), true, null));
            }
            for (Event event : events) {
                double at = now;
                module.on(at, event, action -> {
                    actions.add(action);
                    if (action instanceof Balancer.Send send) {
                        out.add(send);
                    } else if (action instanceof Balancer.SetTimer timer) {
                        timers.put(timer.atMs() + timer.token() * 1e-9, timer);
                    }
                });
            }
            events.clear();
        }
        return actions;
    }

    private static SteeredBalancer steered(long seed) {
        return new SteeredBalancer(new Decide(settings(), seed), new Witness(NAMES), KeySource.NONE);
    }

    private static long toFirstZone(List<Action> actions) {
        return actions.stream().filter(action -> action instanceof Balancer.Send send
                && Integer.parseInt(send.server().substring(1)) % 3 == 0).count();
    }

    /** Same seed, same events, same draws: with the reader round it and no table the module is what it was. */
    @Test
    public void withoutATableTheModuleDecidesAsOneThatWasNeverTold() {
        for (long seed = 1; seed <= 3; seed++) {
            List<Action> plain = decided(new Decide(settings(), seed), seed);
            assertTrue(plain.stream().filter(Balancer.Send.class::isInstance).count() > 1_000);
            assertEquals(decided(steered(seed), seed), plain);
            assertNotEquals(decided(new Decide(settings(), seed + 100), seed), plain);
            assertEquals(decided(new SteeredBalancer(new Decide(settings(), seed), new Witness(NAMES),
                    SampledKeys.of(16, NAMES.zones())), seed), plain, "counting keys decides nothing");
            SteeredBalancer steered = steered(seed);
            steered.steer(new double[][] {{0.05, 1, 1}});
            long leaning = toFirstZone(decided(steered, seed));
            assertTrue(leaning * 2 < toFirstZone(plain), leaning + " of " + toFirstZone(plain));
            steered = steered(seed);
            steered.steer(FleetAddition.factors(Steering.NONE, NAMES));
            assertEquals(decided(steered, seed), plain, "a table that steers nothing is as none");
        }
    }

    @Test
    public void whatIsInForceReachesTheModuleOnceAndBeforeItsNextEvent() {
        List<Event> seen = new ArrayList<>();
        SteeredBalancer steered = new SteeredBalancer((now, event, actions) -> seen.add(event), new Witness(NAMES),
                KeySource.NONE);
        steered.steer(new double[0][]);
        double[][] factors = FleetAddition.factors(new Steering(Map.of("press", Map.of("west", 0.5, "mars", 0.1),
                "stranger", Map.of("east", 0.1))), NAMES);
        steered.steer(factors);
        Event event = new Balancer.DiscoveryFailed();
        steered.on(1, event, action -> { });
        steered.on(2, event, action -> { });
        assertEquals(seen.size(), 3);
        assertEquals(((Balancer.Steered) seen.get(0)).factors(), new double[][] {{1, 1}, {1, 0.5}});
        assertEquals(FleetAddition.factors(Steering.NONE, NAMES).length, 0);
    }

    // ---- What clients saw ----

    private static final class Client implements Frontend {
        private int answers;

        @Override
        public void served(Message answer) {
            answers++;
        }

        @Override
        public void denied(double retryAfterMs) {
            answers++;
        }

        @Override
        public void failed(boolean late) {
            answers++;
        }

        @Override
        public void duplicate() {
            answers++;
        }
    }

    @Test
    public void eachSessionIsCountedOnceByWhereItWentAndHowItEnded() {
        Witness witness = new Witness(NAMES);
        witness.listed(true, Map.of("s0", 0, "s1", 1));
        Map<String, Frontend> handed = new TreeMap<>();
        List<Runnable> posted = new ArrayList<>();
        boolean[] here = {false};
        Intake sessions = new Intake() {
            @Override
            public void open(Opening opening, Frontend frontend) {
                handed.put(opening.id(), frontend);
            }

            @Override
            public void left(String id, Frontend frontend) {
                assertEquals(frontend, handed.get(id), "who leaves is whom they know");
            }
        };
        WitnessedIntake intake = new WitnessedIntake(sessions, witness, KeySource.NONE, NAMES.tenants(),
                new Clock(0) {
                    @Override
                    public double nowMs() {
                        return 1_040;
                    }
                }, new WitnessedIntake.Loop() {
                    @Override
                    public boolean isHere() {
                        return here[0];
                    }

                    @Override
                    public void execute(Runnable task) {
                        posted.add(task);
                    }
                });
        Map<String, Client> clients = new TreeMap<>();
        for (String id : new String[] {"served", "again", "refused", "denied", "failed", "left", "twice"}) {
            clients.put(id, new Client());
            intake.open(new Opening(id, id.equals("failed") ? 1 : 0, 1, 500, false, 1_000, null), clients.get(id));
        }
        assertTrue(handed.isEmpty(), "nothing off the loop");
        here[0] = true;
        posted.forEach(Runnable::run);
        witness.sent("served", "s1");
        witness.sent("again", "s1");
        witness.sent("again", "s0");
        witness.sent("refused", "s0");
        witness.sent("failed", "s9");
        handed.get("served").served(null);
        handed.get("again").served(null);
        handed.get("refused").denied(0);
        here[0] = false;
        posted.clear();
        handed.get("denied").denied(0);
        assertEquals(clients.get("denied").answers, 0, "nothing off the loop");
        here[0] = true;
        posted.forEach(Runnable::run);
        handed.get("failed").failed(true);
        handed.get("twice").duplicate();
        intake.left("left", clients.get("left"));
        clients.forEach((id, client) -> assertEquals(client.answers, id.equals("left") ? 0 : 1, id));
        assertEquals(witness.open(), 0);
        Map<Cell, String> counted = new java.util.HashMap<>();
        witness.copy().forEach(cells -> counted.put(cells.cell(), cells.answered() + " " + cells.denied() + " "
                + cells.failed() + " " + (cells.latency() == null ? "" : cells.latency().getMaxValue())));
        assertEquals(counted, Map.of(new Cell("press", "listen", "west"), "1 0 0 40",
                new Cell("press", "listen", "east"), "1 1 0 40", new Cell("press", "listen", ""), "0 1 1 ",
                new Cell("press", "give", ""), "0 0 1 "));
    }

    // ---- Whom it asks ----

    @Test
    public void daemonsOfOneSeedWithNamesThatDifferByADigitSpread() {
        Map<String, Integer> first = new TreeMap<>();
        int[] tenths = new int[10];
        for (int i = 0; i < 300; i++) {
            Random random = Reporting.random(7, "sidecar-" + i);
            first.merge(new Addresses(List.of("a", "b", "c"), 60_000, random).present(), 1, Integer::sum);
            tenths[(int) (random.nextDouble() * 10)]++;
        }
        assertTrue(first.values().stream().allMatch(count -> count > 70 && count < 130), first.toString());
        assertTrue(java.util.Arrays.stream(tenths).allMatch(count -> count > 10 && count < 60));
    }

    @Test
    public void daemonsSpreadOverInstancesAndOverTime() {
        Set<String> first = new HashSet<>();
        Set<Long> waits = new HashSet<>();
        for (long seed = 0; seed < 30; seed++) {
            Addresses addresses = new Addresses(List.of("a", "b", "c"), 60_000, new Random(seed));
            first.add(addresses.present());
            Set<String> met = new HashSet<>();
            long most = 0;
            for (int i = 0; i < 3; i++) {
                met.add(addresses.present());
                most = Math.max(most, addresses.failed(10_000));
            }
            assertEquals(met.size(), 3);
            assertTrue(most <= 2_000, "the others are asked soon");
            for (int i = 0; i < 60; i++) {
                long wait = addresses.failed(10_000);
                assertTrue(wait <= 60_000 && wait >= 500);
                most = Math.max(most, wait);
            }
            assertTrue(most > 30_000, "where all are gone they are left in peace");
            long wait = addresses.worked(10_000);
            assertTrue(wait >= 8_000 && wait <= 12_000);
            waits.add(wait);
        }
        assertEquals(first, Set.of("a", "b", "c"));
        assertTrue(waits.size() > 25);
    }
}
