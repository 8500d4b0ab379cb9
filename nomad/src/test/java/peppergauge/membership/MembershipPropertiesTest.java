package peppergauge.membership;

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
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import peppergauge.decision.LoadBalancer.EndpointState;

/**
 * Sequences of truth and lies. {@code -Dmembership.tries=10000} is the long run by hand.
 */
class MembershipPropertiesTest {

    private static final int STEPS = 120;

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs();
    }

    /** One source, or two of which either is believed, or both. */
    @Property(tries = 300, seed = "9")
    void theTableHoldsAgainstLiesAndComesToTheTruth(@ForAll("seeds") long seed) {
        new Run(seed).whole();
    }

    @AfterContainer
    static void byHand() {
        int more = Integer.getInteger("membership.tries", 0);
        for (long seed = 0; seed < more; seed++) {
            new Run(seed).whole();
        }
        if (more > 0) {
            System.out.println("membership: " + more + " sequences of " + STEPS + " events more, none against a rule");
        }
    }

    private static final class Run {

        private final Random random;
        private final boolean two;
        private final MembershipConfig policy;
        private final Script script;
        /** Server to standing, READY or LEAVING; one that is absent is dead. */
        private final Map<String, ReportedStatus> truth = new TreeMap<>();

        private final List<List<String>> past = new ArrayList<>();
        /** What each source last said of each server. */
        private final Map<String, Map<String, ReportedStatus>> said = new HashMap<>();
        /** Told to leave or stop at any time: an older word that it is ready need not be believed. */
        private final Set<String> everLeft = new HashSet<>();

        private final Map<String, Double> answeredMs = new HashMap<>();
        private final Map<String, Long> versions = new HashMap<>();
        private double now = 1e6;
        private int named;

        Run(long seed) {
            random = new Random(seed);
            two = random.nextBoolean();
            MembershipConfig usual = MembershipConfig.defaults(two ? List.of("n", "p") : List.of("n"));
            policy = new MembershipConfig(
                    usual.sources(),
                    two ? MembershipConfig.SourceMode.UNION : MembershipConfig.SourceMode.FIRST,
                    random.nextInt(4) * 0.25,
                    1 + random.nextInt(3),
                    10_000,
                    30_000,
                    60_000,
                    5_000,
                    3,
                    60_000,
                    2_000,
                    30_000,
                    10_000);
            script = new Script(policy);
            for (int i = 0; i < 1 + random.nextInt(8); i++) {
                truth.put("s" + named++, ReportedStatus.READY);
            }
            policy.sources().forEach(source -> tell(source, words(), true));
        }

        void whole() {
            for (int i = 0; i < STEPS; i++) {
                step();
                check();
            }
            faultsEnd();
        }

        private List<String> words() {
            List<String> words = new ArrayList<>();
            truth.forEach((id, standing) -> words.add(standing == ReportedStatus.DRAINING ? id + "-" : id));
            past.add(words);
            return words;
        }

        private void tell(String source, List<String> words, boolean newer) {
            long version = versions.merge(source, newer ? 1L : 0L, Long::sum) - (newer ? 0 : 1 + random.nextInt(3));
            remember(source, words);
            script.line(now / 1000 + (source.equals("p") ? " p:" : " ") + "whole " + version + " "
                    + String.join(" ", words));
        }

        private void remember(String source, List<String> words) {
            words.stream()
                    .map(Script::told)
                    .filter(each -> each.status() != ReportedStatus.READY)
                    .forEach(each -> everLeft.add(each.server()));
            words.forEach(word -> said.computeIfAbsent(source, fresh -> new HashMap<>())
                    .put(Script.told(word).server(), Script.told(word).status()));
        }

        private void changes(String source, String word) {
            remember(source, List.of(word));
            script.line(now / 1000 + (source.equals("p") ? " p:" : " ") + "tell " + word);
        }

        private String any() {
            List<String> all = new ArrayList<>(truth.keySet());
            return all.get(random.nextInt(all.size()));
        }

        private void step() {
            now += random.nextInt(3_000);
            String source = two && random.nextBoolean() ? "p" : "n";
            if (truth.isEmpty()) {
                truth.put("s" + named++, ReportedStatus.READY);
            }
            switch (random.nextInt(13)) {
                case 0 -> truth.put("s" + named++, ReportedStatus.READY);
                case 1 -> {
                    String id = any();
                    truth.put(id, ReportedStatus.DRAINING);
                    changes(source, id + "-");
                }
                case 2 -> truth.put(any(), ReportedStatus.READY);
                case 3 -> truth.remove(any());
                case 4 -> {
                    String id = any();
                    truth.remove(id);
                    policy.sources().forEach(each -> changes(each, id + "!"));
                }
                case 5 -> tell(source, List.of(), true);
                case 6 ->
                    tell(
                            source,
                            words().stream()
                                    .filter(word -> random.nextInt(3) == 0)
                                    .toList(),
                            true);
                case 7 -> tell(source, past.get(random.nextInt(past.size())), false);
                case 8 -> script.line(now / 1000 + (source.equals("p") ? " p:lost" : " lost"));
                case 9 -> versions.merge(source, -1L - random.nextInt(5), Long::sum);
                case 10 -> script.line(now / 1000 + " at");
                default -> tell(source, words(), true);
            }
            serve();
        }

        /** Those that are asked and live answer, most of the time. */
        private void serve() {
            script.table.forEach((id, state) -> {
                if (state == EndpointState.READY && truth.containsKey(id) && random.nextInt(4) > 0) {
                    answeredMs.put(id, now);
                    script.membership.onResponse(now, "h:" + id);
                }
            });
        }

        private boolean told(String id, ReportedStatus standing) {
            return said.values().stream().anyMatch(of -> of.get(id) == standing);
        }

        private void check() {
            script.table.forEach((id, state) -> assertFalse(
                    state == EndpointState.READY
                            && (told(id, ReportedStatus.DRAINING)
                                    || told(id, ReportedStatus.STOPPED) && !told(id, ReportedStatus.READY)),
                    () -> id + " is leaving and handed out as ready: " + lately()));
            boolean serves = answeredMs.entrySet().stream()
                    .anyMatch(each -> now - each.getValue() < policy.responseWindowMs()
                            && truth.containsKey(each.getKey())
                            && !everLeft.contains(each.getKey()));
            assertTrue(
                    !serves || script.table.containsValue(EndpointState.READY),
                    () -> "empty while a server serves: " + lately());
        }

        private String lately() {
            return script.reasons
                    .subList(Math.max(0, script.reasons.size() - 30), script.reasons.size())
                    .toString();
        }

        private void faultsEnd() {
            double until = now + policy.convergenceMs(1_000);
            while (now < until) {
                now += 1_000;
                policy.sources().forEach(source -> tell(source, words(), true));
                serve();
                check();
            }
            TreeSet<String> ready = new TreeSet<>();
            script.table.forEach((id, state) -> {
                if (state == EndpointState.READY) {
                    ready.add(id);
                }
            });
            TreeSet<String> right = new TreeSet<>(truth.keySet());
            right.removeIf(id -> truth.get(id) == ReportedStatus.DRAINING);
            assertEquals(right, ready, this::lately);
        }
    }
}
