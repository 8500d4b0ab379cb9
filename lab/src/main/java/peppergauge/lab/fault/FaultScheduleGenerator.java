package peppergauge.lab.fault;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates fault schedules from a seed within given limits. Equal arguments give equal schedules. */
public final class FaultScheduleGenerator {

    /** Number of attempts at finding a free time and target, per fault. */
    private static final int MAX_TRIES_PER_FAULT = 50;
    /** Faults shorter than this seldom have an effect. */
    private static final long MIN_DURATION_MS = 200;

    private static final List<FaultKind> KINDS = List.of(FaultKind.values());

    private final UniformRandomProvider random;
    private final FaultLimits limits;
    private final List<String> servers;
    private final List<String> processes;
    private final List<String> links;

    private FaultScheduleGenerator(
            long seed, FaultLimits limits, List<String> servers, List<String> processes, List<String> links) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.limits = limits;
        this.servers = servers;
        this.processes = processes;
        this.links = links;
    }

    /**
     * Returns the faults of a schedule in the order of their times.
     *
     * @param servers backend servers, which can be told to leave
     * @param processes all processes that can be ended or stopped
     */
    public static List<ScheduledFault> generate(
            long seed, FaultLimits limits, List<String> servers, List<String> processes, List<String> links) {
        return new FaultScheduleGenerator(seed, limits, servers, processes, links).generateAll();
    }

    private List<ScheduledFault> generateAll() {
        List<ScheduledFault> drawn = new ArrayList<>();
        for (int i = 0; i < limits.maxFaults() * MAX_TRIES_PER_FAULT && drawn.size() < limits.maxFaults(); i++) {
            ScheduledFault next = randomFault();
            if (fits(next, drawn)) {
                drawn.add(next);
            }
        }
        drawn.sort(Comparator.comparing(ScheduledFault::time));
        return drawn;
    }

    private ScheduledFault randomFault() {
        FaultKind what = KINDS.get(random.nextInt(KINDS.size()));
        List<String> candidates = what == FaultKind.LEAVE ? servers : what.affectsLinks() ? links : processes;
        long spanMs = limits.latestEnd().minus(limits.earliestStart()).toMillis();
        long lengthMs = Math.min(
                spanMs, MIN_DURATION_MS + random.nextLong(limits.maxDuration().toMillis()));
        long atMs = limits.earliestStart().toMillis() + random.nextLong(spanMs - lengthMs + 1);
        Optional<Double> size = switch (what) {
            case SLOW -> Optional.of(500.0 + random.nextInt(20_000));
            case DELAY -> Optional.of(10.0 + random.nextInt(400));
            case ACCEPT_LATE -> Optional.of(50.0 + random.nextInt(1_000));
            default -> Optional.empty();
        };
        return new ScheduledFault(
                Duration.ofMillis(atMs),
                what,
                widen(candidates.get(random.nextInt(candidates.size())), what),
                Duration.ofMillis(lengthMs),
                size);
    }

    /**
     * Turns one link target in three into a pattern for all links of its caller or all links to its callee, as when a
     * switch fails instead of a cable.
     */
    private String widen(String target, FaultKind what) {
        int side = what.affectsLinks() ? random.nextInt(6) : 2;
        int to = target.indexOf(TopologyNames.LINK_SEPARATOR);
        return side == 0
                ? target.substring(0, to) + TopologyNames.LINK_SEPARATOR + "*"
                : side == 1 ? "*" + target.substring(to) : target;
    }

    /**
     * Returns whether the next fault keeps to the limit of concurrent faults and overlaps no fault with the same
     * target.
     */
    private boolean fits(ScheduledFault next, List<ScheduledFault> drawn) {
        List<ScheduledFault> concurrent = drawn.stream().filter(next::overlaps).toList();
        boolean sameTarget = concurrent.stream()
                .anyMatch(other -> TopologyNames.matches(other.target(), next.target())
                        || TopologyNames.matches(next.target(), other.target()));
        return !sameTarget && concurrent.size() < limits.maxConcurrent();
    }
}
