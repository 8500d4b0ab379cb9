package peppergauge.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.invariant.Loads;
import peppergauge.request.EndpointUpdate;

/**
 * Random load of membership: sources send complete lists, changes and older lists, become silent, move servers to other
 * addresses and reuse addresses for other servers.
 */
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
        MembershipConfig defaults = MembershipConfig.defaults(sources);
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
                defaults.flapWindowMs(),
                2_000,
                30_000,
                random.nextInt(3) * 5_000));
        if (random.nextBoolean()) {
            membership.seed(random.ints(random.nextInt(6), 0, 6)
                    .mapToObj(
                            i -> new EndpointUpdate.EndpointAddress(endpoint("s" + i, randomState()), randomAddress()))
                    .toList());
        }
    }

    /**
     * Runs the load of one seed.
     *
     * @throws AssertionError if an invariant is violated
     */
    public static void run(long seed) {
        MembershipLoad load = new MembershipLoad(seed);
        long lastVersion = 0;
        for (int i = 0; i < STEPS; i++) {
            MembershipChange change = load.step();
            long published = change.update().map(EndpointUpdate::version).orElse(lastVersion + 1);
            if (change.update().isPresent() && published <= lastVersion) {
                throw new AssertionError("expected a version above " + lastVersion + ", published " + published);
            }
            lastVersion = change.update().isPresent() ? published : lastVersion;
        }
    }

    private MembershipChange step() {
        nowMs += random.nextInt(40) == 0 ? random.nextInt(15_000) : random.nextInt(500);
        String source = sources.get(random.nextInt(sources.size()));
        if (random.nextInt(4) == 0) {
            membership.onResponse(nowMs, randomAddress());
        }
        return switch (random.nextInt(8)) {
            case 0, 1, 2 ->
                membership.onUpdate(
                        nowMs,
                        new SourceUpdate.CompleteList(
                                source,
                                ++version - random.nextInt(3),
                                random.nextInt(6) > 0,
                                randomServers(random.nextInt(7))));
            case 3, 4 ->
                membership.onUpdate(
                        nowMs,
                        new SourceUpdate.Changes(
                                source, random.nextBoolean() ? 0 : version, randomServers(1 + random.nextInt(2))));
            case 5 -> membership.onUpdate(nowMs, new SourceUpdate.Lost(source));
            case 6 -> membership.onUpdate(nowMs, new SourceUpdate.Alive(source));
            default -> membership.onTick(nowMs);
        };
    }

    private List<ReportedEndpoint> randomServers(int servers) {
        List<ReportedEndpoint> reported = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            reported.add(new ReportedEndpoint(
                    endpoint("s" + random.nextInt(6), EndpointState.READY),
                    randomAddress(),
                    ReportedStatus.values()[random.nextInt(4) * random.nextInt(2)],
                    "reason"));
        }
        return reported;
    }

    private EndpointState randomState() {
        return EndpointState.values()[random.nextInt(3)];
    }

    private static Endpoint endpoint(String id, EndpointState state) {
        return new Endpoint(id, 0, 0, state, 0);
    }

    private String randomAddress() {
        return "host:" + random.nextInt(6);
    }
}
