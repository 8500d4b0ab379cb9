package peppergauge.fleet.reader;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import peppergauge.SidecarExtension;
import peppergauge.decision.LoadBalancer;
import peppergauge.fleet.table.Factors;
import peppergauge.promises.ZoneWeights;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.settings.SettingsNames;

/** What the daemon's file adds by {@code [fleet]}. */
public final class FleetExtension implements SidecarExtension.RequestInterceptor {

    private final ReaderSettings settings;
    private Witness witness;
    private KeySource keys;
    private ZoneWeightedLoadBalancer steered;
    private Reporting reporting;

    public FleetExtension(ReaderSettings settings) {
        this.settings = settings;
    }

    @Override
    public LoadBalancer wrapLoadBalancer(LoadBalancer module, Context parts) {
        witness = new Witness(parts.settingsNames());
        keys = SampledKeys.of(settings.sampledKeys(), parts.settingsNames().zones());
        steered = new ZoneWeightedLoadBalancer(module, witness, keys);
        return steered;
    }

    @Override
    public RequestHandler wrapRequestHandler(RequestHandler next, Context parts) {
        return new WitnessedIntake(
                next, witness, keys, parts.settingsNames().tenants(), parts.clock(), new WitnessedIntake.Loop() {
                    @Override
                    public boolean isHere() {
                        return parts.loop().isEventLoopThread();
                    }

                    @Override
                    public void execute(Runnable task) {
                        parts.loop().execute(task);
                    }
                });
    }

    @Override
    public void onStarting(RequestHandler intake, RequestDispatcher sessions, Context parts) {
        reporting = new Reporting(
                settings,
                parts.config().name(),
                parts.config().seed(),
                System::currentTimeMillis,
                future -> parts.loop().execute(() -> collect(future)),
                steering -> steered.steer(factors(steering, parts.settingsNames())));
        reporting.start();
    }

    private void collect(CompletableFuture<Reporting.Counted> future) {
        future.complete(new Reporting.Counted(witness.copy(), keys.told()));
    }

    /** By index of tenant and of zone; empty for no steering. Names that this sidecar does not have are passed over. */
    static double[][] factors(ZoneWeights steering, SettingsNames names) {
        if (steering.weights().isEmpty()) {
            return new double[0][];
        }
        double[][] factors = new double[names.tenants().size()][names.zones().size()];
        for (int tenant = 0; tenant < factors.length; tenant++) {
            Arrays.fill(factors[tenant], 1);
            for (int zone = 0; zone < factors[tenant].length; zone++) {
                factors[tenant][zone] = Factors.of(
                        steering, names.tenants().get(tenant), names.zones().get(zone));
            }
        }
        return factors;
    }

    /** For people; any thread. */
    public Map<String, Object> report() {
        return reporting == null ? Map.of() : reporting.report();
    }

    @Override
    public void onStopped() {
        if (reporting != null) {
            reporting.close();
        }
    }
}
