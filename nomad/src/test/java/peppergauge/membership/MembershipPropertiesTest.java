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
 * Checks membership under random sequences of correct and wrong reports. {@code -Dmembership.tries=10000} adds as many
 * sequences, for a long run by hand.
 */
class MembershipPropertiesTest {

    private static final int STEPS = 120;

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs();
    }

    /** A run has one source, or two sources in union mode. */
    @Property(tries = 300, seed = "9")
    void tableStaysValidAndConvergesAfterWrongReports(@ForAll("seeds") long seed) {
        new Run(seed).runAll();
    }

    @AfterContainer
    static void runExtraSequences() {
        int extra = Integer.getInteger("membership.tries", 0);
        for (long seed = 0; seed < extra; seed++) {
            new Run(seed).runAll();
        }
        if (extra > 0) {
            System.out.println("membership: " + extra + " more sequences of " + STEPS + " events, no violation");
        }
    }

    private static final class Run {

        private final Random random;
        private final boolean hasTwoSources;
        private final MembershipConfig config;
        private final MembershipScript script;
        /** Actual status of each server, READY or DRAINING; a server that is absent is stopped. */
        private final Map<String, ReportedStatus> actual = new TreeMap<>();

        /** Correct lists of the past, which may be sent again as older lists. */
        private final List<List<String>> history = new ArrayList<>();
        /** Last status that each source reported for each server. */
        private final Map<String, Map<String, ReportedStatus>> lastReports = new HashMap<>();
        /** Servers that were ever reported draining or stopped, so that an older report of READY may be ignored. */
        private final Set<String> everDeparted = new HashSet<>();

        private final Map<String, Double> lastResponseMs = new HashMap<>();
        private final Map<String, Long> versions = new HashMap<>();
        private double nowMs = 1e6;
        private int serverCount;

        Run(long seed) {
            random = new Random(seed);
            hasTwoSources = random.nextBoolean();
            MembershipConfig defaults = MembershipConfig.defaults(hasTwoSources ? List.of("n", "p") : List.of("n"));
            config = new MembershipConfig(
                    defaults.sources(),
                    hasTwoSources ? MembershipConfig.SourceMode.UNION : MembershipConfig.SourceMode.FIRST,
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
            script = new MembershipScript(config);
            for (int i = 0; i < 1 + random.nextInt(8); i++) {
                actual.put("s" + serverCount++, ReportedStatus.READY);
            }
            config.sources().forEach(source -> sendList(source, correctList(), true));
        }

        void runAll() {
            for (int i = 0; i < STEPS; i++) {
                step();
                check();
            }
            checkConvergence();
        }

        /** Returns the correct list. */
        private List<String> correctList() {
            List<String> words = new ArrayList<>();
            actual.forEach((id, status) -> words.add(status == ReportedStatus.DRAINING ? id + "-" : id));
            history.add(words);
            return words;
        }

        /** Sends a complete list with a newer or an older version. */
        private void sendList(String source, List<String> words, boolean newer) {
            long version = versions.merge(source, newer ? 1L : 0L, Long::sum) - (newer ? 0 : 1 + random.nextInt(3));
            recordReports(source, words);
            script.run(nowMs / 1000 + (source.equals("p") ? " p:" : " ") + "list " + version + " "
                    + String.join(" ", words));
        }

        /** Records what a source reported. */
        private void recordReports(String source, List<String> words) {
            words.stream()
                    .map(MembershipScript::reported)
                    .filter(each -> each.status() != ReportedStatus.READY)
                    .forEach(each -> everDeparted.add(each.server()));
            words.forEach(word -> lastReports
                    .computeIfAbsent(source, fresh -> new HashMap<>())
                    .put(
                            MembershipScript.reported(word).server(),
                            MembershipScript.reported(word).status()));
        }

        /** Sends the change of one server. */
        private void sendChange(String source, String word) {
            recordReports(source, List.of(word));
            script.run(nowMs / 1000 + (source.equals("p") ? " p:" : " ") + "change " + word);
        }

        private String randomServer() {
            List<String> all = new ArrayList<>(actual.keySet());
            return all.get(random.nextInt(all.size()));
        }

        private void step() {
            nowMs += random.nextInt(3_000);
            String source = hasTwoSources && random.nextBoolean() ? "p" : "n";
            if (actual.isEmpty()) {
                actual.put("s" + serverCount++, ReportedStatus.READY);
            }
            switch (random.nextInt(13)) {
                case 0 -> actual.put("s" + serverCount++, ReportedStatus.READY);
                case 1 -> {
                    String id = randomServer();
                    actual.put(id, ReportedStatus.DRAINING);
                    sendChange(source, id + "-");
                }
                case 2 -> actual.put(randomServer(), ReportedStatus.READY);
                case 3 -> actual.remove(randomServer());
                case 4 -> {
                    String id = randomServer();
                    actual.remove(id);
                    config.sources().forEach(each -> sendChange(each, id + "!"));
                }
                case 5 -> sendList(source, List.of(), true);
                case 6 ->
                    sendList(
                            source,
                            correctList().stream()
                                    .filter(word -> random.nextInt(3) == 0)
                                    .toList(),
                            true);
                case 7 -> sendList(source, history.get(random.nextInt(history.size())), false);
                case 8 -> script.run(nowMs / 1000 + (source.equals("p") ? " p:lost" : " lost"));
                case 9 -> versions.merge(source, -1L - random.nextInt(5), Long::sum);
                case 10 -> script.run(nowMs / 1000 + " tick");
                default -> sendList(source, correctList(), true);
            }
            respond();
        }

        /** Most ready servers that are not stopped respond. */
        private void respond() {
            script.table.forEach((id, state) -> {
                if (state == EndpointState.READY && actual.containsKey(id) && random.nextInt(4) > 0) {
                    lastResponseMs.put(id, nowMs);
                    script.membership.onResponse(nowMs, "h:" + id);
                }
            });
        }

        private boolean isReported(String id, ReportedStatus status) {
            return lastReports.values().stream().anyMatch(reports -> reports.get(id) == status);
        }

        private void check() {
            script.table.forEach((id, state) -> assertFalse(
                    state == EndpointState.READY
                            && (isReported(id, ReportedStatus.DRAINING)
                                    || isReported(id, ReportedStatus.STOPPED) && !isReported(id, ReportedStatus.READY)),
                    () -> id + " was reported draining or stopped but is listed as ready: " + recentReasons()));
            boolean anyServes = lastResponseMs.entrySet().stream()
                    .anyMatch(each -> nowMs - each.getValue() < config.responseWindowMs()
                            && actual.containsKey(each.getKey())
                            && !everDeparted.contains(each.getKey()));
            assertTrue(
                    !anyServes || script.table.containsValue(EndpointState.READY),
                    () -> "no server is listed as ready while one responds: " + recentReasons());
        }

        private String recentReasons() {
            return script.reasons
                    .subList(Math.max(0, script.reasons.size() - 30), script.reasons.size())
                    .toString();
        }

        /** Sends correct lists only, until the table must be correct. */
        private void checkConvergence() {
            double untilMs = nowMs + config.convergenceMs(1_000);
            while (nowMs < untilMs) {
                nowMs += 1_000;
                config.sources().forEach(source -> sendList(source, correctList(), true));
                respond();
                check();
            }
            TreeSet<String> ready = new TreeSet<>();
            script.table.forEach((id, state) -> {
                if (state == EndpointState.READY) {
                    ready.add(id);
                }
            });
            TreeSet<String> expected = new TreeSet<>(actual.keySet());
            expected.removeIf(id -> actual.get(id) == ReportedStatus.DRAINING);
            assertEquals(expected, ready, this::recentReasons);
        }
    }
}
