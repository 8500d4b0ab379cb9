package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.Placement.Rendezvous;
import peppergauge.forecast.placement.Placement.Server;

/** Selects the server of each request by a placement, restricted to each sidecar's subset of servers. */
final class ServerSelector {

    /** Time constant of the exponentially decaying load of a server. */
    static final double LOAD_MS = 1_500;

    private final Placement placement;
    private final UniformRandomProvider random;
    private final Map<Integer, int[]> serverOrders = new HashMap<>();
    private final Map<Integer, double[]> cumulativeBySidecarAndTenant = new HashMap<>();
    private final double[] parts;
    private final double[] loads;
    private final double[] loadsAtMs;
    private double totalLoad;
    private double totalLoadAtMs;

    ServerSelector(Placement placement, UniformRandomProvider random) {
        this.placement = placement;
        this.random = random;
        parts = placement.shares("");
        loads = new double[parts.length];
        loadsAtMs = new double[parts.length];
    }

    Server place(int sidecar, int tenant, int key, double nowMs) {
        int index = placement.rule() instanceof Rendezvous rule
                ? rankedIndex(rule, key, nowMs)
                : drawIndex(sidecar, tenant);
        return placement.servers().get(index);
    }

    private int drawIndex(int sidecar, int tenant) {
        double[] shares = cumulativeBySidecarAndTenant.computeIfAbsent(
                sidecar * 64 + tenant, any -> cumulativeShares(sidecar, tenant));
        int index = Arrays.binarySearch(shares, random.nextDouble() * shares[shares.length - 1]);
        return index < 0 ? -index - 1 : index + 1;
    }

    private double[] cumulativeShares(int sidecar, int tenant) {
        List<Server> servers = placement.servers();
        double[] shares = placement.shares(CacheWorkload.TENANTS.get(tenant));
        if (placement.subsetSize() > 0 && placement.subsetSize() < servers.size()) {
            List<Integer> order =
                    new ArrayList<>(IntStream.range(0, servers.size()).boxed().toList());
            order.sort(Comparator.comparingDouble(
                    i -> hashToUnit(sidecar, servers.get(i).id())));
            order.subList(placement.subsetSize(), order.size()).forEach(i -> shares[i] = 0);
        }
        for (int i = 1; i < shares.length; i++) {
            shares[i] += shares[i - 1];
        }
        return shares;
    }

    /** Weighted rendezvous hashing. */
    private int rankedIndex(Rendezvous rule, int key, double nowMs) {
        int[] order = serverOrders.computeIfAbsent(
                key,
                any -> IntStream.range(0, parts.length)
                        .boxed()
                        .sorted(Comparator.comparingDouble(i -> -StrictMath.log(hashToUnit(
                                        key, placement.servers().get(i).id()))
                                / placement.servers().get(i).weight()))
                        .mapToInt(Integer::intValue)
                        .toArray());
        int choice = random.nextInt(Math.min(rule.servers(), order.length));
        if (rule.bound() > 1 && full(order[choice], rule, nowMs)) {
            choice = Math.min(rule.servers(), order.length - 1);
            while (choice < order.length - 1 && full(order[choice], rule, nowMs)) {
                choice++;
            }
        }
        int server = order[choice];
        loads[server] = load(loads[server], loadsAtMs[server], nowMs) + 1;
        loadsAtMs[server] = nowMs;
        totalLoad = load(totalLoad, totalLoadAtMs, nowMs) + 1;
        totalLoadAtMs = nowMs;
        return server;
    }

    private boolean full(int server, Rendezvous rule, double nowMs) {
        return load(loads[server], loadsAtMs[server], nowMs)
                > 1 + rule.bound() * parts[server] * load(totalLoad, totalLoadAtMs, nowMs);
    }

    private static double load(double load, double atMs, double nowMs) {
        return load * StrictMath.exp((atMs - nowMs) / LOAD_MS);
    }

    /** Deterministic hash of number and id to a value between 0 and 1. */
    private static double hashToUnit(int number, String id) {
        return ((new RandomStreams(number).number(id) >>> 11) + 0.5) * 0x1p-53;
    }
}
