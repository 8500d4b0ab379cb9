package peppergauge.fleet.reader;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import peppergauge.Additions;
import peppergauge.decision.Balancer;
import peppergauge.fleet.table.Factors;
import peppergauge.promises.Steering;
import peppergauge.session.Intake;
import peppergauge.session.Sessions;
import peppergauge.settings.SiteNames;

/** What the daemon's file adds by {@code [fleet]}. */
public final class FleetAddition implements Additions.Before {

    private final ReaderSettings settings;
    private Witness witness;
    private KeySource keys;
    private SteeredBalancer steered;
    private Reporting reporting;

    public FleetAddition(ReaderSettings settings) {
        this.settings = settings;
    }

    @Override
    public Balancer balancer(Balancer module, Parts parts) {
        witness = new Witness(parts.names());
        keys = SampledKeys.of(settings.sampledKeys(), parts.names().zones());
        steered = new SteeredBalancer(module, witness, keys);
        return steered;
    }

    @Override
    public Intake intake(Intake next, Parts parts) {
        return new WitnessedIntake(
                next, witness, keys, parts.names().tenants(), parts.clock(), new WitnessedIntake.Loop() {
                    @Override
                    public boolean isHere() {
                        return parts.loop().isHere();
                    }

                    @Override
                    public void execute(Runnable task) {
                        parts.loop().execute(task);
                    }
                });
    }

    @Override
    public void starting(Intake intake, Sessions sessions, Parts parts) {
        reporting = new Reporting(
                settings,
                parts.config().name(),
                parts.config().seed(),
                System::currentTimeMillis,
                future -> parts.loop().execute(() -> collect(future)),
                steering -> steered.steer(factors(steering, parts.names())));
        reporting.start();
    }

    private void collect(CompletableFuture<Reporting.Counted> future) {
        future.complete(new Reporting.Counted(witness.copy(), keys.told()));
    }

    /** By index of tenant and of zone; empty for no steering. Names that this sidecar does not have are passed over. */
    static double[][] factors(Steering steering, SiteNames names) {
        if (steering.factors().isEmpty()) {
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
    public void stopped() {
        if (reporting != null) {
            reporting.close();
        }
    }
}
