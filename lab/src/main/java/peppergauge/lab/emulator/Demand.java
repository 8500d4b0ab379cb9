package peppergauge.lab.emulator;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.Tenant;

/** Mix of the requests of all applications: shares of classes and tenants as the script's incidents modify them. */
final class Demand {

    private final World world;
    private final double[] kinds;
    private final double[] tenants;
    private final double[] kindScale;
    private final double[] tenantScale;
    private final double[] tailTimes;
    private final double[] tailShare;
    private final int[] poison;
    private final double[] quota;
    private final double[] saved;
    private final long[] savedAt;
    private int storms;
    private int stormRetries;
    private long numbers;

    Demand(World world) {
        Scenario scenario = world.scenario;
        this.world = world;
        kinds = scenario.classes().stream().mapToDouble(RequestKind::share).toArray();
        tenants = scenario.tenants().isEmpty()
                ? new double[] {1}
                : scenario.tenants().stream().mapToDouble(Tenant::share).toArray();
        quota = scenario.tenants().isEmpty()
                ? new double[1]
                : scenario.tenants().stream().mapToDouble(Tenant::quota).toArray();
        kindScale = ones(kinds.length);
        tenantScale = ones(tenants.length);
        tailTimes = ones(kinds.length);
        tailShare = new double[kinds.length];
        poison = new int[kinds.length];
        saved = quota.clone();
        savedAt = new long[quota.length];
    }

    private static double[] ones(int length) {
        double[] ones = new double[length];
        Arrays.fill(ones, 1);
        return ones;
    }

    /** Factor on the total arrival rate that results from the scaled classes and tenants. */
    double scale() {
        return scaled(kinds, kindScale) * scaled(tenants, tenantScale);
    }

    private static double scaled(double[] shares, double[] scales) {
        double sum = 0;
        double plain = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += shares[i] * scales[i];
            plain += shares[i];
        }
        return sum / plain;
    }

    int kind(UniformRandomProvider random) {
        return draw(kinds, kindScale, random);
    }

    int tenant(UniformRandomProvider random) {
        return draw(tenants, tenantScale, random);
    }

    private static int draw(double[] shares, double[] scales, UniformRandomProvider random) {
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += shares[i] * scales[i];
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < shares.length - 1; i++) {
            at -= shares[i] * scales[i];
            if (at < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    /** Returns a unique number for a request or a client attempt. */
    long number() {
        return numbers++;
    }

    double workTimes(int kind, UniformRandomProvider random) {
        // Drawn unconditionally, so that incidents do not shift other draws of the stream.
        return random.nextDouble() < tailShare[kind] ? tailTimes[kind] : 1;
    }

    boolean poisoned(int kind) {
        if (poison[kind] > 0) {
            poison[kind]--;
            return true;
        }
        return false;
    }

    /** Worth of a request relative to one within the tenant's quota; counts the request against that quota. */
    double worthShare(int tenant) {
        if (quota[tenant] <= 0) {
            return 1;
        }
        long now = world.time.now();
        saved[tenant] =
                Math.min(quota[tenant], saved[tenant] + quota[tenant] * VirtualTime.ms(now - savedAt[tenant]) / 1e3);
        savedAt[tenant] = now;
        if (saved[tenant] < 1) {
            return world.scenario.rules().overShareWorth();
        }
        saved[tenant]--;
        return 1;
    }

    boolean stormy() {
        return storms > 0;
    }

    int retries() {
        return storms > 0 ? stormRetries : (int) world.scenario.clients().retries();
    }

    // ---- Incidents ----

    void scaleKind(int kind, double times) {
        kindScale[kind] *= times;
    }

    void scaleTenant(int tenant, double times) {
        tenantScale[tenant] *= times;
    }

    /** @param kind index of the request class, or -1 for all */
    void tail(int kind, double times, double share) {
        for (int i = 0; i < kinds.length; i++) {
            if (kind < 0 || kind == i) {
                tailTimes[i] = times;
                tailShare[i] = share;
            }
        }
    }

    /** @param kind index of the request class, or -1 for the first */
    void poison(int kind, int count) {
        poison[Math.max(0, kind)] = count;
    }

    void storm(int retries, int change) {
        stormRetries = retries;
        storms += change;
    }
}
