package peppergauge.lab.fault;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws faults from a seed, within a budget. The same arguments give the same faults. */
public final class FaultScheduleGenerator {

    /** For each fault that finds no room it is tried so often. */
    private static final int MAX_TRIES_PER_FAULT = 50;
    /** Shorter ones are seldom noticed by anything. */
    private static final long MIN_DURATION_MS = 200;

    private static final List<FaultKind> KINDS = List.of(FaultKind.values());

    private final UniformRandomProvider random;
    private final FaultLimits limits;
    private final List<String> servers;
    private final List<String> processes;
    private final List<String> links;

    private FaultScheduleGenerator(long seed, FaultLimits limits, List<String> servers, List<String> processes,
            List<String> links) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.limits = limits;
        this.servers = servers;
        this.processes = processes;
        this.links = links;
    }

    /**
     * Draws them, in the order of their times.
     *
     * @param servers those of the processes that can be told to leave
     * @param processes all that can be ended or stopped
     */
    public static List<Fault> generate(
            long seed, FaultLimits limits, List<String> servers, List<String> processes, List<String> links) {
        return new FaultScheduleGenerator(seed, limits, servers, processes, links).generateAll();
    }

    private List<Fault> generateAll() {
        List<Fault> drawn = new ArrayList<>();
        for (int i = 0; i < limits.maxFaults() * MAX_TRIES_PER_FAULT && drawn.size() < limits.maxFaults(); i++) {
            Fault next = randomFault();
            if (fits(next, drawn)) {
                drawn.add(next);
            }
        }
        drawn.sort(Comparator.comparing(Fault::time));
        return drawn;
    }

    private Fault randomFault() {
        FaultKind what = KINDS.get(random.nextInt(KINDS.size()));
        List<String> candidates = what == FaultKind.LEAVE ? servers : what.affectsLinks() ? links : processes;
        long spanMs = limits.latestEnd().minus(limits.earliestStart()).toMillis();
        long lengthMs =
                Math.min(spanMs, MIN_DURATION_MS + random.nextLong(limits.maxDuration().toMillis()));
        long atMs = limits.earliestStart().toMillis() + random.nextLong(spanMs - lengthMs + 1);
        Optional<Double> size = switch (what) {
            case SLOW -> Optional.of(500.0 + random.nextInt(20_000));
            case DELAY -> Optional.of(10.0 + random.nextInt(400));
            case ACCEPT_LATE -> Optional.of(50.0 + random.nextInt(1_000));
            default -> Optional.empty();
        };
        return new Fault(
                Duration.ofMillis(atMs),
                what,
                widen(candidates.get(random.nextInt(candidates.size())), what),
                Duration.ofMillis(lengthMs),
                size);
    }

    /** One link in three stands for all from its caller or all to its callee: a switch fails, not a cable. */
    private String widen(String target, FaultKind what) {
        int side = what.affectsLinks() ? random.nextInt(6) : 2;
        int to = target.indexOf(TopologyNames.LINK_SEPARATOR);
        return side == 0 ? target.substring(0, to) + TopologyNames.LINK_SEPARATOR + "*" : side == 1 ? "*"
                + target.substring(to) : target;
    }

    /** Nothing happens twice at once to one process or link, and no more at once than may. */
    private boolean fits(Fault next, List<Fault> drawn) {
        List<Fault> concurrent = drawn.stream().filter(next::overlaps).toList();
        boolean sameTarget = concurrent.stream()
                .anyMatch(other ->
                        TopologyNames.matches(other.target(), next.target())
                                || TopologyNames.matches(next.target(), other.target()));
        return !sameTarget && concurrent.size() < limits.maxConcurrent();
    }
}
