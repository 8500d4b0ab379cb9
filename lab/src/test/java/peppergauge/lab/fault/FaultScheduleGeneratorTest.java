package peppergauge.lab.fault;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.testng.annotations.Test;

public class FaultScheduleGeneratorTest {

    private static final List<String> SERVERS = List.of("server-1", "server-2", "server-3");
    private static final List<String> PROCESSES = List.of("server-1", "server-2", "server-3", "sidecar-1", "discovery");
    private static final List<String> LINKS =
            TopologyNames.links(List.of("sidecar-1", "sidecar-2"), SERVERS, List.of("fleet-1", "fleet-2"));

    private static List<ScheduledFault> generate(long seed, int faults, int most) {
        return FaultScheduleGenerator.generate(
                seed,
                new FaultLimits(faults, most, Duration.ofSeconds(2), Duration.ofSeconds(8), Duration.ofSeconds(3)),
                SERVERS,
                PROCESSES,
                LINKS);
    }

    @Property(tries = 300)
    void scheduleKeepsItsLimits(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 12) int faults,
            @ForAll @IntRange(min = 1, max = 4) int most) {
        List<ScheduledFault> schedule = generate(seed, faults, most);
        assertEquals(generate(seed, faults, most), schedule);
        assertTrue(!schedule.isEmpty() && schedule.size() <= faults);
        for (ScheduledFault fault : schedule) {
            assertTrue(fault.time().toMillis() >= 2_000 && fault.end().toMillis() <= 8_000, fault.describe());
            assertTrue(
                    (fault.what().affectsLinks() ? LINKS : fault.what() == FaultKind.LEAVE ? SERVERS : PROCESSES)
                            .stream().anyMatch(fault::matchesTarget),
                    fault.describe());
            assertEquals(fault.size().isPresent(), !fault.what().size().isEmpty(), fault.describe());
            // A moment with the most concurrent faults is the beginning of one of them.
            assertTrue(
                    schedule.stream()
                                    .filter(other -> other.time().compareTo(fault.time()) <= 0
                                            && other.end().compareTo(fault.time()) >= 0)
                                    .count()
                            <= most,
                    schedule.toString());
        }
    }

    @Test
    public void generatesEveryKind() {
        Set<FaultKind> kinds = IntStream.range(0, 100)
                .boxed()
                .flatMap(seed -> generate(seed, 6, 3).stream())
                .map(ScheduledFault::what)
                .collect(Collectors.toSet());
        assertEquals(kinds, Set.of(FaultKind.values()));
    }

    @Test
    public void targetMatchesPattern() {
        ScheduledFault all = fault(0, "sidecar-*>server-1", 1_000);
        assertTrue(all.matchesTarget("sidecar-1>server-1") && all.matchesTarget("sidecar-12>server-1"));
        assertTrue(!all.matchesTarget("sidecar-1>server-10") && !all.matchesTarget("sidecar-1>discovery"));
        assertTrue(!all.matchesTarget("xsidecar-1>server-1"));
        assertTrue(!fault(0, "sidecar.1", 1_000).matchesTarget("sidecar-1"));
    }

    private static ScheduledFault fault(int atMs, String target, int lengthMs) {
        return new ScheduledFault(
                Duration.ofMillis(atMs), FaultKind.STALL, target, Duration.ofMillis(lengthMs), Optional.empty());
    }

    /** Of twenty faults, two together cause the failure, one of them only with at least half a second. */
    @Test
    public void shrinksFailingScheduleToFewestAndShortestFaults() {
        List<ScheduledFault> all = new ArrayList<>(
                IntStream.range(0, 20).mapToObj(i -> fault(i, "l" + i, 2_000)).toList());
        List<Integer> trials = new ArrayList<>();
        List<ScheduledFault> least = FailureMinimizer.faults(all, faults -> {
            trials.add(faults.size());
            return faults.stream().anyMatch(one -> one.target().equals("l3"))
                    && faults.stream()
                            .anyMatch(one ->
                                    one.target().equals("l17") && one.length().toMillis() >= 500);
        });
        assertEquals(
                least.stream().map(ScheduledFault::describe).toList(),
                List.of("stall l3 at 3 ms for 250 ms", "stall l17 at 17 ms for 500 ms"));
        assertTrue(trials.size() < 50, trials.size() + " trials");
        // A single fault is found by halving the list, since each trial with processes takes 20 s.
        trials.clear();
        assertEquals(
                FailureMinimizer.faults(all, faults -> trials.add(faults.size()) && faults.contains(all.get(11))),
                List.of(all.get(11)));
        assertTrue(trials.size() <= 12, trials.size() + " trials: " + trials);
    }
}
