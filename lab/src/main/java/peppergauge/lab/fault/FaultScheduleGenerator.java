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
    private static final int TRIES = 50;
    /** Shorter ones are seldom noticed by anything. */
    private static final long SHORTEST_MS = 200;

    private static final List<FaultKind> KINDS = List.of(FaultKind.values());

    private final UniformRandomProvider random;
    private final FaultLimits budget;
    private final List<String> servers;
    private final List<String> processes;
    private final List<String> links;

    private FaultScheduleGenerator(long seed, FaultLimits budget, List<String> servers, List<String> processes, List<String> links) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.budget = budget;
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
    public static List<Fault> draw(
            long seed, FaultLimits budget, List<String> servers, List<String> processes, List<String> links) {
        return new FaultScheduleGenerator(seed, budget, servers, processes, links).drawn();
    }

    private List<Fault> drawn() {
        List<Fault> drawn = new ArrayList<>();
        for (int i = 0; i < budget.faults() * TRIES && drawn.size() < budget.faults(); i++) {
            Fault next = one();
            if (fits(next, drawn)) {
                drawn.add(next);
            }
        }
        drawn.sort(Comparator.comparing(Fault::time));
        return drawn;
    }

    private Fault one() {
        FaultKind what = KINDS.get(random.nextInt(KINDS.size()));
        List<String> whom = what == FaultKind.LEAVE ? servers : what.ofLinks() ? links : processes;
        long spanMs = budget.healed().minus(budget.first()).toMillis();
        long lengthMs =
                Math.min(spanMs, SHORTEST_MS + random.nextLong(budget.longest().toMillis()));
        long atMs = budget.first().toMillis() + random.nextLong(spanMs - lengthMs + 1);
        Optional<Double> size = switch (what) {
            case SLOW -> Optional.of(500.0 + random.nextInt(20_000));
            case DELAY -> Optional.of(10.0 + random.nextInt(400));
            case ACCEPT_LATE -> Optional.of(50.0 + random.nextInt(1_000));
            default -> Optional.empty();
        };
        return new Fault(
                Duration.ofMillis(atMs),
                what,
                wide(whom.get(random.nextInt(whom.size())), what),
                Duration.ofMillis(lengthMs),
                size);
    }

    /** One link in three stands for all from its caller or all to its callee: a switch fails, not a cable. */
    private String wide(String target, FaultKind what) {
        int side = what.ofLinks() ? random.nextInt(6) : 2;
        int to = target.indexOf(TopologyNames.TO);
        return side == 0 ? target.substring(0, to) + TopologyNames.TO + "*" : side == 1 ? "*" + target.substring(to) : target;
    }

    /** Nothing happens twice at once to one process or link, and no more at once than may. */
    private boolean fits(Fault next, List<Fault> drawn) {
        List<Fault> beside = drawn.stream().filter(next::meets).toList();
        boolean twice = beside.stream()
                .anyMatch(other ->
                        TopologyNames.matches(other.target(), next.target()) || TopologyNames.matches(next.target(), other.target()));
        return !twice && beside.size() < budget.most();
    }
}
