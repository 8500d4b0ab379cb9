package peppergauge.lab.emulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.Placement.Rendezvous;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.Placement.WeightedRandom;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.placement.PlacementStep;
import peppergauge.lab.scenario.ServerGroup;

/**
 * A workload with its servers and a placement change to forecast, drawn from a seed.
 *
 * @param keySampling maximum share of keys that daemons sample
 * @param rate total requests per second
 * @param cacheSettings server group of which only the settings of the key cache are used
 * @param spread coefficient of variation of observed service times
 */
record CacheWorkload(
        long seed,
        double keySampling,
        int keys,
        double zipf,
        double rate,
        ServerGroup cacheSettings,
        double spread,
        Placement placement,
        PlacementChange change) {

    static final List<String> TENANTS = List.of("a", "b", "c", "d", "e", "f");
    private static final List<String> ZONES = List.of("north", "bay", "hill", "ridge");
    /** Time within which servers are replaced. */
    private static final double REPLACE_MS = 7_000;

    /** Draws a workload with few keys, which all fit the table, or with many keys, of which 1% are sampled. */
    static CacheWorkload draw(long seed, boolean many) {
        UniformRandomProvider random = new RandomStreams(seed).of("world");
        int servers = many ? logUniform(random, 12, 60) : logUniform(random, 12, 200);
        int keys = many
                ? logUniform(random, 20_000, 200_000)
                : random.nextBoolean() ? 290 + random.nextInt(471) : logUniform(random, 200, 5_000);
        double rate = servers * (many ? 50 + 150 * random.nextDouble() : 3 + 11 * random.nextDouble());
        long size = many ? logUniform(random, 100, 10_000) : logUniform(random, 8, 600);
        int sidecars = logUniform(random, 4, 100);
        int members = sidecars >= 20 && servers >= 24 && random.nextDouble() < 0.6 ? 8 + random.nextInt(17) : 0;
        Placement.Rule rule = random.nextDouble() < 0.25 ? rendezvous(random) : new WeightedRandom();
        Placement placement = new Placement(
                servers(random, servers),
                rule,
                rule instanceof WeightedRandom ? members : 0,
                shares(random, sidecars),
                Map.of());
        return new CacheWorkload(
                seed,
                many ? 0.01 : 1,
                keys,
                0.6 + 0.3 * random.nextDouble(),
                rate,
                cacheSettings(random, size),
                0.3 + 0.3 * random.nextDouble(),
                placement,
                change(random, placement));
    }

    CacheWorkload sampled(double share) {
        return new CacheWorkload(seed, share, keys, zipf, rate, cacheSettings, spread, placement, change);
    }

    private static int logUniform(UniformRandomProvider random, int from, int to) {
        return (int) Math.round(from * StrictMath.pow((double) to / from, random.nextDouble()));
    }

    private static Rendezvous rendezvous(UniformRandomProvider random) {
        return new Rendezvous(
                1 + random.nextInt(4), random.nextBoolean() ? 0 : 1.25 + random.nextDouble(), ServerSelector.LOAD_MS);
    }

    private static List<Server> servers(UniformRandomProvider random, int count) {
        int zones = 2 + random.nextInt(3);
        double fast = random.nextBoolean() ? 1 : 2;
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Server("s" + i, ZONES.get(i % zones), i % 5 < 2 ? fast : 1));
        }
        return servers;
    }

    private static List<Double> shares(UniformRandomProvider random, int count) {
        double skew = 0.6 * random.nextDouble();
        double[] parts = IntStream.range(0, count)
                .mapToDouble(i -> StrictMath.pow(i + 1, -skew))
                .toArray();
        double sum = Arrays.stream(parts).sum();
        return Arrays.stream(parts).mapToObj(part -> part / sum).toList();
    }

    private static ServerGroup cacheSettings(UniformRandomProvider random, long size) {
        Duration life = Duration.ofMillis(2_500 + random.nextInt(8_500));
        Duration none = Duration.ZERO;
        return new ServerGroup(
                "m",
                1,
                1,
                1,
                0,
                1,
                1,
                1,
                none,
                ServerGroup.WarmBy.TIME,
                0,
                false,
                none,
                1,
                none,
                size,
                life,
                0.31 + 0.26 * random.nextDouble(),
                none,
                none,
                0,
                none,
                1,
                none,
                none);
    }

    private static PlacementChange change(UniformRandomProvider random, Placement now) {
        int all = now.servers().size();
        List<String> ids = now.servers().stream().map(Server::id).toList();
        String zone = ZONES.get(random.nextInt(2));
        return switch (random.nextInt(9)) {
            case 0 ->
                new PlacementChange.ServersAdded(IntStream.range(0, Math.max(1, (int) (all * random.nextDouble())))
                        .mapToObj(i -> new Server("new" + i, ZONES.get(i % 2), 1))
                        .toList());
            case 1 ->
                new PlacementChange.ServersRemoved(drawSubset(random, ids, 0.1 + 0.5 * random.nextDouble()).stream()
                        .collect(Collectors.toSet()));
            case 2, 3 -> new PlacementChange.ServersReplaced(drawSubset(random, ids, 0.6), REPLACE_MS);
            case 4 -> new PlacementChange.ZoneLost(zone);
            case 5 -> new PlacementChange.ZoneShunned(zone, 0.05 + 0.45 * random.nextDouble());
            case 6 ->
                now.rule() instanceof WeightedRandom
                        ? new PlacementChange.SubsetSizeChanged(4 + random.nextInt(Math.min(all, 30) - 4))
                        : new PlacementChange.RuleChanged(new WeightedRandom());
            case 7 -> new PlacementChange.RuleChanged(rendezvous(random));
            default ->
                new PlacementChange.ZoneWeightsChanged(
                        TENANTS.get(random.nextInt(3)), Map.of(zone, 0.05 + 0.6 * random.nextDouble()));
        };
    }

    private static List<String> drawSubset(UniformRandomProvider random, List<String> ids, double share) {
        List<String> left = new ArrayList<>(ids);
        List<String> drawn = new ArrayList<>();
        while (drawn.size() < Math.max(1, Math.round(share * ids.size()))) {
            drawn.add(left.remove(random.nextInt(left.size())));
        }
        return drawn;
    }

    /** The placement steps that really take place: replaced servers change one by one. */
    List<PlacementStep> actualSteps() {
        if (!(change instanceof PlacementChange.ServersReplaced replace)) {
            return change.steps(placement);
        }
        List<PlacementStep> steps = new ArrayList<>();
        List<Server> now = new ArrayList<>(placement.servers());
        for (int i = 0; i < replace.ids().size(); i++) {
            Set<String> gone = Set.of(replace.ids().get(i));
            now.replaceAll(server -> gone.contains(server.id())
                    ? new Server(server.id() + ".new", server.zone(), server.weight())
                    : server);
            steps.add(new PlacementStep(replace.overMs() * i / replace.ids().size(), placement.withServers(now)));
        }
        return steps;
    }
}
