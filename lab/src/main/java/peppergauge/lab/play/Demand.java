package peppergauge.lab.play;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import peppergauge.lab.scenario.Entry;
import peppergauge.lab.scenario.Incident;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.Target;
import peppergauge.lab.scenario.Tenant;

/** What clients ask for at a time: shares of classes and tenants, and what the script makes of them. */
final class Demand {

    private final Scenario scenario;
    private final Script script;
    private final double[] saved;
    private final double[] savedAtMs;
    private final int[] poisoned;

    Demand(Scenario scenario, Script script) {
        this.scenario = scenario;
        this.script = script;
        saved = scenario.tenants().stream().mapToDouble(Tenant::quota).toArray();
        savedAtMs = new double[saved.length];
        poisoned = new int[scenario.entries().size()];
    }

    /** By how much the rate of all is higher for what some classes and tenants ask more. */
    double scale(double ms) {
        return ratio(kinds(ms), kinds()) * ratio(tenants(ms), tenants());
    }

    private static double ratio(double[] scaled, double[] plain) {
        return plain.length == 0
                ? 1
                : Arrays.stream(scaled).sum() / Arrays.stream(plain).sum();
    }

    private double[] kinds() {
        return scenario.classes().stream().mapToDouble(RequestKind::share).toArray();
    }

    private double[] tenants() {
        return scenario.tenants().stream().mapToDouble(Tenant::share).toArray();
    }

    private double[] kinds(double ms) {
        List<RequestKind> classes = scenario.classes();
        return scaled(
                classes.size(),
                i -> classes.get(i).share()
                        * script.burst(
                                ms,
                                to -> to.form() == Target.Form.CLASS
                                        && to.name().equals(classes.get(i).name())));
    }

    private double[] tenants(double ms) {
        List<Tenant> tenants = scenario.tenants();
        return scaled(
                tenants.size(),
                i -> tenants.get(i).share()
                        * script.burst(
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

    /** 0 where there are no tenants. */
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

    /** Of one request, ms of a standard core; lognormal, by a heavy tail more. */
    double workMs(int kind, double ms, SplittableRandom random) {
        RequestKind about = scenario.classes().get(kind);
        double variance = Math.log(1 + about.workSpread() * about.workSpread());
        double normal = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        double work = Scenario.ms(about.work()) * Math.exp(Math.sqrt(variance) * normal - variance / 2);
        double tail = random.nextDouble();
        for (Entry entry : script.now(Incident.HEAVY_TAIL, ms, to -> covers(to, kind))) {
            work *= tail < entry.part().orElse(0.0) ? entry.size().orElse(1.0) : 1;
        }
        return work;
    }

    /** Whether this request kills the server that works on it; counts it. */
    boolean poisoned(int kind, double ms) {
        for (Entry entry : script.now(Incident.POISON, ms, to -> covers(to, kind))) {
            int number = scenario.entries().indexOf(entry);
            if (poisoned[number] < entry.size().orElse(0.0)) {
                poisoned[number]++;
                return true;
            }
        }
        return false;
    }

    private boolean covers(Target target, int kind) {
        return target.form() != Target.Form.CLASS
                || target.name().equals(scenario.classes().get(kind).name());
    }

    /** What a request of this tenant is worth of the usual; counts it against the tenant's quota. */
    double worthShare(int tenant, double ms) {
        if (tenant >= saved.length || scenario.tenants().get(tenant).quota() <= 0) {
            return 1;
        }
        double quota = scenario.tenants().get(tenant).quota();
        saved[tenant] = Math.min(quota, saved[tenant] + quota * (ms - savedAtMs[tenant]) / 1e3);
        savedAtMs[tenant] = ms;
        if (saved[tenant] < 1) {
            return scenario.rules().overShareWorth();
        }
        saved[tenant]--;
        return 1;
    }

    /** Empty unless clients retry at once. */
    List<Entry> storms(double ms) {
        return script.now(Incident.RETRY_STORM, ms, to -> true);
    }
}
