package peppergauge.lab.emulator;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.Tenant;

/**
 * Mix of the requests of all applications: shares of classes and tenants as the script's incidents modify them. The one
 * of package play reads the incidents in effect from a schedule.
 */
final class RequestMix {

    private final EmulationContext context;
    private final double[] kindShares;
    private final double[] tenants;
    private final double[] kindFactors;
    private final double[] tenantFactors;
    private final double[] tailTimes;
    private final double[] tailShare;
    private final int[] poison;
    private final double[] quota;
    private final double[] quotaTokens;
    private final long[] quotaUpdatedTick;
    private int retryStorms;
    private int stormRetries;
    private long nextNumber;

    RequestMix(EmulationContext context) {
        Scenario scenario = context.scenario;
        this.context = context;
        kindShares =
                scenario.classes().stream().mapToDouble(RequestClassSpec::share).toArray();
        tenants = scenario.tenants().isEmpty()
                ? new double[] {1}
                : scenario.tenants().stream().mapToDouble(Tenant::share).toArray();
        quota = scenario.tenants().isEmpty()
                ? new double[1]
                : scenario.tenants().stream().mapToDouble(Tenant::quota).toArray();
        kindFactors = ones(kindShares.length);
        tenantFactors = ones(tenants.length);
        tailTimes = ones(kindShares.length);
        tailShare = new double[kindShares.length];
        poison = new int[kindShares.length];
        quotaTokens = quota.clone();
        quotaUpdatedTick = new long[quota.length];
    }

    private static double[] ones(int length) {
        double[] ones = new double[length];
        Arrays.fill(ones, 1);
        return ones;
    }

    /** Factor on the total arrival rate that results from the scaled classes and tenants. */
    double scale() {
        return scaled(kindShares, kindFactors) * scaled(tenants, tenantFactors);
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
        return draw(kindShares, kindFactors, random);
    }

    int tenant(UniformRandomProvider random) {
        return draw(tenants, tenantFactors, random);
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
        return nextNumber++;
    }

    double workFactor(int kind, UniformRandomProvider random) {
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
    double worthFactor(int tenant) {
        if (quota[tenant] <= 0) {
            return 1;
        }
        long now = context.time.now();
        double elapsedMs = VirtualTime.ms(now - quotaUpdatedTick[tenant]);
        quotaTokens[tenant] = Math.min(quota[tenant], quotaTokens[tenant] + quota[tenant] * elapsedMs / 1e3);
        quotaUpdatedTick[tenant] = now;
        if (quotaTokens[tenant] < 1) {
            return context.scenario.rules().overShareWorth();
        }
        quotaTokens[tenant]--;
        return 1;
    }

    boolean isRetryStorm() {
        return retryStorms > 0;
    }

    int retries() {
        return retryStorms > 0 ? stormRetries : (int) context.scenario.clients().retries();
    }

    // ---- Incidents ----

    void scaleKind(int kind, double times) {
        kindFactors[kind] *= times;
    }

    void scaleTenant(int tenant, double times) {
        tenantFactors[tenant] *= times;
    }

    /** @param kind index of the request class, or -1 for all */
    void tail(int kind, double times, double share) {
        for (int i = 0; i < kindShares.length; i++) {
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
        retryStorms += change;
    }
}
