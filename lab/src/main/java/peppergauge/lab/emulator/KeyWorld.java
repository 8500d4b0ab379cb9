package peppergauge.lab.emulator;

import java.time.Duration;
import java.util.ArrayList;
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
import peppergauge.lab.scenario.ServerKind;

/**
 * A workload with its servers and a placement change to forecast, drawn from a seed.
 *
 * @param keySampling maximum share of keys that daemons sample
 * @param rate total requests per second
 * @param spread coefficient of variation of observed service times
 */
record KeyWorld(
        long seed,
        double keySampling,
        int keys,
        double zipf,
        double rate,
        ServerKind memory,
        double spread,
        Placement placement,
        PlacementChange change) {

    static final List<String> STATIONS = List.of("a", "b", "c", "d", "e", "f");
    private static final List<String> ZONES = List.of("north", "bay", "hill", "ridge");
    /** Time within which servers are replaced. */
    private static final double REPLACE_MS = 7_000;

    /** Draws a workload with few keys, which all fit the table, or with many keys, of which 1% are sampled. */
    static KeyWorld draw(long seed, boolean many) {
        UniformRandomProvider luck = new Streams(seed).of("world");
        int servers = many ? logged(luck, 12, 60) : logged(luck, 12, 200);
        int keys = many
                ? logged(luck, 20_000, 200_000)
                : luck.nextBoolean() ? 290 + luck.nextInt(471) : logged(luck, 200, 5_000);
        double rate = servers * (many ? 50 + 150 * luck.nextDouble() : 3 + 11 * luck.nextDouble());
        long size = many ? logged(luck, 100, 10_000) : logged(luck, 8, 600);
        int sidecars = logged(luck, 4, 100);
        int members = sidecars >= 20 && servers >= 24 && luck.nextDouble() < 0.6 ? 8 + luck.nextInt(17) : 0;
        Placement.Rule rule = luck.nextDouble() < 0.25 ? rendezvous(luck) : new WeightedRandom();
        Placement placement = new Placement(
                servers(luck, servers),
                rule,
                rule instanceof WeightedRandom ? members : 0,
                shares(luck, sidecars),
                Map.of());
        return new KeyWorld(
                seed,
                many ? 0.01 : 1,
                keys,
                0.6 + 0.3 * luck.nextDouble(),
                rate,
                memory(luck, size),
                0.3 + 0.3 * luck.nextDouble(),
                placement,
                change(luck, placement));
    }

    KeyWorld sampled(double share) {
        return new KeyWorld(seed, share, keys, zipf, rate, memory, spread, placement, change);
    }

    private static int logged(UniformRandomProvider luck, int from, int to) {
        return (int) Math.round(from * Math.pow((double) to / from, luck.nextDouble()));
    }

    private static Rendezvous rendezvous(UniformRandomProvider luck) {
        return new Rendezvous(
                1 + luck.nextInt(4), luck.nextBoolean() ? 0 : 1.25 + luck.nextDouble(), KeyPlacer.LOAD_MS);
    }

    private static List<Server> servers(UniformRandomProvider luck, int count) {
        int zones = 2 + luck.nextInt(3);
        double fast = luck.nextBoolean() ? 1 : 2;
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Server("s" + i, ZONES.get(i % zones), i % 5 < 2 ? fast : 1));
        }
        return servers;
    }

    private static List<Double> shares(UniformRandomProvider luck, int count) {
        double skew = 0.6 * luck.nextDouble();
        double[] parts = IntStream.range(0, count)
                .mapToDouble(i -> Math.pow(i + 1, -skew))
                .toArray();
        double sum = java.util.Arrays.stream(parts).sum();
        return java.util.Arrays.stream(parts).mapToObj(part -> part / sum).toList();
    }

    private static ServerKind memory(UniformRandomProvider luck, long size) {
        Duration life = Duration.ofMillis(2_500 + luck.nextInt(8_500));
        Duration none = Duration.ZERO;
        return new ServerKind(
                "m",
                1,
                1,
                1,
                0,
                1,
                1,
                1,
                none,
                ServerKind.WarmBy.TIME,
                0,
                false,
                none,
                1,
                none,
                size,
                life,
                0.31 + 0.26 * luck.nextDouble(),
                none,
                none,
                0,
                none,
                1,
                none,
                none);
    }

    private static PlacementChange change(UniformRandomProvider luck, Placement now) {
        int all = now.servers().size();
        List<String> ids = now.servers().stream().map(Server::id).toList();
        String zone = ZONES.get(luck.nextInt(2));
        return switch (luck.nextInt(9)) {
            case 0 ->
                new PlacementChange.ServersAdded(IntStream.range(0, Math.max(1, (int) (all * luck.nextDouble())))
                        .mapToObj(i -> new Server("new" + i, ZONES.get(i % 2), 1))
                        .toList());
            case 1 ->
                new PlacementChange.ServersRemoved(
                        some(luck, ids, 0.1 + 0.5 * luck.nextDouble()).stream().collect(Collectors.toSet()));
            case 2, 3 -> new PlacementChange.ServersReplaced(some(luck, ids, 0.6), REPLACE_MS);
            case 4 -> new PlacementChange.ZoneLost(zone);
            case 5 -> new PlacementChange.ZoneShunned(zone, 0.05 + 0.45 * luck.nextDouble());
            case 6 ->
                now.rule() instanceof WeightedRandom
                        ? new PlacementChange.SubsetSizeChanged(4 + luck.nextInt(Math.min(all, 30) - 4))
                        : new PlacementChange.RuleChanged(new WeightedRandom());
            case 7 -> new PlacementChange.RuleChanged(rendezvous(luck));
            default ->
                new PlacementChange.ZoneWeightsChanged(
                        STATIONS.get(luck.nextInt(3)), Map.of(zone, 0.05 + 0.6 * luck.nextDouble()));
        };
    }

    private static List<String> some(UniformRandomProvider luck, List<String> ids, double share) {
        List<String> left = new ArrayList<>(ids);
        List<String> drawn = new ArrayList<>();
        while (drawn.size() < Math.max(1, Math.round(share * ids.size()))) {
            drawn.add(left.remove(luck.nextInt(left.size())));
        }
        return drawn;
    }

    /** The placement steps that really take place: replaced servers change one by one. */
    List<peppergauge.forecast.placement.PlacementStep> truth() {
        if (!(change instanceof PlacementChange.ServersReplaced replace)) {
            return change.steps(placement);
        }
        List<peppergauge.forecast.placement.PlacementStep> steps = new ArrayList<>();
        List<Server> now = new ArrayList<>(placement.servers());
        for (int i = 0; i < replace.ids().size(); i++) {
            Set<String> gone = Set.of(replace.ids().get(i));
            now.replaceAll(server -> gone.contains(server.id())
                    ? new Server(server.id() + ".new", server.zone(), server.weight())
                    : server);
            steps.add(new peppergauge.forecast.placement.PlacementStep(
                    replace.overMs() * i / replace.ids().size(), placement.withServers(now)));
        }
        return steps;
    }
}
