package peppergauge.lab.play;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import peppergauge.lab.scenario.Incident;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;
import peppergauge.lab.scenario.Target;
import peppergauge.lab.scenario.Tenant;

/**
 * Draws class, tenant and work of client requests, from the scenario's shares and the incidents in effect. In package
 * emulator the incidents modify the mix instead.
 */
final class RequestMix {

    private final Scenario scenario;
    private final IncidentSchedule schedule;
    private final double[] quotaTokens;
    private final double[] refilledAtMs;
    private final int[] poisoned;

    RequestMix(Scenario scenario, IncidentSchedule schedule) {
        this.scenario = scenario;
        this.schedule = schedule;
        quotaTokens = scenario.tenants().stream().mapToDouble(Tenant::quota).toArray();
        refilledAtMs = new double[quotaTokens.length];
        poisoned = new int[scenario.entries().size()];
    }

    /** Returns the factor by which bursts of single classes and tenants raise the total request rate. */
    double rateFactor(double ms) {
        return ratio(kinds(ms), kinds()) * ratio(tenants(ms), tenants());
    }

    private static double ratio(double[] scaled, double[] plain) {
        return plain.length == 0
                ? 1
                : Arrays.stream(scaled).sum() / Arrays.stream(plain).sum();
    }

    private double[] kinds() {
        return scenario.classes().stream().mapToDouble(RequestClassSpec::share).toArray();
    }

    private double[] tenants() {
        return scenario.tenants().stream().mapToDouble(Tenant::share).toArray();
    }

    private double[] kinds(double ms) {
        List<RequestClassSpec> classes = scenario.classes();
        return scaled(
                classes.size(),
                i -> classes.get(i).share()
                        * schedule.burstFactor(
                                ms,
                                to -> to.form() == Target.Form.CLASS
                                        && to.name().equals(classes.get(i).name())));
    }

    private double[] tenants(double ms) {
        List<Tenant> tenants = scenario.tenants();
        return scaled(
                tenants.size(),
                i -> tenants.get(i).share()
                        * schedule.burstFactor(
                                ms,
                                to -> to.form() == Target.Form.TENANT
                                        && to.name().equals(tenants.get(i).name())));
    }

    private static double[] scaled(int count, IntToDoubleFunction weight) {
        double[] weights = new double[count];
        Arrays.setAll(weights, weight);
        return weights;
    }

    int kind(double ms, SplittableRandom random) {
        return draw(kinds(ms), random);
    }

    /** Draws the index of a tenant; 0 if the scenario has no tenants. */
    int tenant(double ms, SplittableRandom random) {
        return draw(tenants(ms), random);
    }

    private static int draw(double[] weights, SplittableRandom random) {
        double at = random.nextDouble() * Arrays.stream(weights).sum();
        for (int i = 0; i < weights.length - 1; i++) {
            at -= weights[i];
            if (at < 0) {
                return i;
            }
        }
        return Math.max(0, weights.length - 1);
    }

    /** Draws the work of one request, in ms of a standard core: lognormal, multiplied by heavy-tail incidents. */
    double workMs(int kind, double ms, SplittableRandom random) {
        RequestClassSpec requestClass = scenario.classes().get(kind);
        double variance = Math.log(1 + requestClass.workSpread() * requestClass.workSpread());
        double normal = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        double work = Scenario.toMillis(requestClass.work()) * Math.exp(Math.sqrt(variance) * normal - variance / 2);
        double tail = random.nextDouble();
        for (ScheduledIncident entry : schedule.active(Incident.HEAVY_TAIL, ms, to -> covers(to, kind))) {
            work *= tail < entry.part().orElse(0.0) ? entry.size().orElse(1.0) : 1;
        }
        return work;
    }

    /** Returns whether the request kills the server that executes it, and counts it towards the incident's size. */
    boolean poisoned(int kind, double ms) {
        for (ScheduledIncident entry : schedule.active(Incident.POISON, ms, to -> covers(to, kind))) {
            int index = scenario.entries().indexOf(entry);
            if (poisoned[index] < entry.size().orElse(0.0)) {
                poisoned[index]++;
                return true;
            }
        }
        return false;
    }

    private boolean covers(Target target, int kind) {
        return target.form() != Target.Form.CLASS
                || target.name().equals(scenario.classes().get(kind).name());
    }

    /** Takes a token of the tenant's quota; returns the factor of the request's value, below 1 if none was left. */
    double valueFactor(int tenant, double ms) {
        if (tenant >= quotaTokens.length || scenario.tenants().get(tenant).quota() <= 0) {
            return 1;
        }
        double quota = scenario.tenants().get(tenant).quota();
        quotaTokens[tenant] = Math.min(quota, quotaTokens[tenant] + quota * (ms - refilledAtMs[tenant]) / 1e3);
        refilledAtMs[tenant] = ms;
        if (quotaTokens[tenant] < 1) {
            return scenario.rules().overShareWorth();
        }
        quotaTokens[tenant]--;
        return 1;
    }

    /** Returns the retry storms in effect, during which clients retry without backoff. */
    List<ScheduledIncident> retryStorms(double ms) {
        return schedule.active(Incident.RETRY_STORM, ms, to -> true);
    }
}
