package peppergauge.forecast.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Where sessions go.
 *
 * @param servers that take any
 * @param rule how each session's server is chosen
 * @param members servers that one sidecar works with, drawn by an order of its own; 0 for all
 * @param sidecars each one's share of all sessions; they add up to 1
 * @param steering factors on weights by station, then zone; 1 where left out
 */
public record Placement(
        List<Server> servers,
        Rule rule,
        int members,
        List<Double> sidecars,
        Map<String, Map<String, Double>> steering) {

    /**
     * One life of a backend server: a restarted one is another.
     *
     * @param weight its part of the sessions is this over the sum, unsteered
     */
    public record Server(String id, String zone, double weight) {}

    /** How a server is chosen. */
    public sealed interface Rule {}

    /** By lot, weighted, without regard to the key. */
    public record Draws() implements Rule {}

    /**
     * Each key has so many servers, by weighted rendezvous hashing, and each session goes to one of them by lot.
     *
     * @param servers of a key
     * @param bound a server takes at most this times its part of all sessions, what is beyond goes to the key's next
     *     one; 0 for no bound, else over 1
     * @param overMs time constant of the mean that a server's load is
     */
    public record Rendezvous(int servers, double bound, double overMs) implements Rule {}

    /** Values of {@link #luck}, and servers drawn for each. */
    private static final int LUCK = 9;

    private static final int DRAWS = 64;

    public Placement {
        if (servers.isEmpty() || servers.stream().anyMatch(server -> !(server.weight() > 0))) {
            throw new IllegalArgumentException("servers need to be there, with weights over 0");
        }
        servers = List.copyOf(servers);
        sidecars = List.copyOf(sidecars);
        steering = Map.copyOf(steering);
    }

    /** A server's part of a station's sessions, in the mean over sidecars. */
    public double[] shares(String station) {
        Map<String, Double> factors = steering.getOrDefault(station, Map.of());
        double[] shares = servers.stream()
                .mapToDouble(server -> server.weight() * factors.getOrDefault(server.zone(), 1.0))
                .toArray();
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        for (int i = 0; i < shares.length; i++) {
            shares[i] /= sum;
        }
        assert Math.abs(Arrays.stream(shares).sum() - 1) < 1e-6 : "shares of " + Arrays.toString(shares);
        return shares;
    }

    /**
     * What servers' parts are as factors of the mean, since each sidecar has other members: equally likely values,
     * rising. Which members a sidecar has is not told, so this is all that is known.
     */
    public double[] luck() {
        if (members == 0 || members >= servers.size() || rule instanceof Rendezvous) {
            return new double[] {1};
        }
        SplittableRandom random = new SplittableRandom(1);
        double chance = (double) members / servers.size();
        double[] drawn = new double[LUCK * DRAWS];
        double sum = 0;
        for (int i = 0; i < drawn.length; i++) {
            for (double share : sidecars) {
                drawn[i] += random.nextDouble() < chance ? share : 0;
            }
            sum += drawn[i];
        }
        Arrays.sort(drawn);
        double[] luck = new double[LUCK];
        for (int i = 0; i < drawn.length; i++) {
            luck[i / DRAWS] += drawn[i] / sum * LUCK;
        }
        assert Math.abs(Arrays.stream(luck).sum() - LUCK) < 1e-6 : "luck of " + Arrays.toString(luck);
        return luck;
    }

    /** The same with other servers. */
    public Placement with(List<Server> others) {
        return new Placement(others, rule, members, sidecars, steering);
    }
}
