package peppergauge.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.invariant.Loads;
import peppergauge.request.EndpointUpdate;

/** Sources that tell anything: ids that move, places that change hands, whole lists, parts, old lists and silence. */
public final class MembershipLoad {

    private static final int STEPS = Loads.steps(800);

    private final SplittableRandom random;
    private final List<String> sources;
    private final Membership membership;
    private double nowMs = 1e6;
    private long version;

    private MembershipLoad(long seed) {
        random = new SplittableRandom(seed);
        sources = random.nextBoolean() ? List.of("a") : List.of("a", "b");
        MembershipConfig usual = MembershipConfig.defaults(sources);
        membership = new Membership(new MembershipConfig(
                sources,
                MembershipConfig.SourceMode.values()[random.nextInt(2)],
                random.nextInt(4) * 0.25,
                1 + random.nextInt(3),
                5_000,
                10_000,
                30_000,
                5_000,
                1 + 50 * random.nextInt(3),
                usual.flapWindowMs(),
                2_000,
                30_000,
                random.nextInt(3) * 5_000));
        if (random.nextBoolean()) {
            membership.seed(random.ints(random.nextInt(6), 0, 6)
                    .mapToObj(i -> new EndpointUpdate.EndpointAddress(entry("s" + i, state()), place()))
                    .toList());
        }
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        MembershipLoad load = new MembershipLoad(seed);
        long before = 0;
        for (int i = 0; i < STEPS; i++) {
            MembershipChange decided = load.step();
            long told = decided.update().map(EndpointUpdate::version).orElse(before + 1);
            if (decided.update().isPresent() && told <= before) {
                throw new AssertionError("table " + told + " after " + before);
            }
            before = decided.update().isPresent() ? told : before;
        }
    }

    private MembershipChange step() {
        nowMs += random.nextInt(40) == 0 ? random.nextInt(15_000) : random.nextInt(500);
        String source = sources.get(random.nextInt(sources.size()));
        if (random.nextInt(4) == 0) {
            membership.onResponse(nowMs, place());
        }
        return switch (random.nextInt(8)) {
            case 0, 1, 2 ->
                membership.onUpdate(
                        nowMs,
                        new SourceUpdate.CompleteList(
                                source, ++version - random.nextInt(3), random.nextInt(6) > 0, told(random.nextInt(7))));
            case 3, 4 ->
                membership.onUpdate(
                        nowMs,
                        new SourceUpdate.Changes(
                                source, random.nextBoolean() ? 0 : version, told(1 + random.nextInt(2))));
            case 5 -> membership.onUpdate(nowMs, new SourceUpdate.Lost(source));
            case 6 -> membership.onUpdate(nowMs, new SourceUpdate.Alive(source));
            default -> membership.onTick(nowMs);
        };
    }

    private List<ReportedEndpoint> told(int servers) {
        List<ReportedEndpoint> told = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            told.add(new ReportedEndpoint(
                    entry("s" + random.nextInt(6), EndpointState.READY),
                    place(),
                    ReportedStatus.values()[random.nextInt(4) * random.nextInt(2)],
                    "sign"));
        }
        return told;
    }

    private EndpointState state() {
        return EndpointState.values()[random.nextInt(3)];
    }

    private static Endpoint entry(String id, EndpointState state) {
        return new Endpoint(id, 0, 0, state, 0);
    }

    private String place() {
        return "host:" + random.nextInt(6);
    }
}
