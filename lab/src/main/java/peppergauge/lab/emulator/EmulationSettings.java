package peppergauge.lab.emulator;

import java.util.List;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerGroup;
import peppergauge.lab.scenario.Sidecars;

/** Settings of a run from the scenario: the load balancer's settings, and durations in ms. */
final class EmulationSettings {

    /** Tick interval of the platform, as in docs/ARCHITECTURE.md and the adapter. */
    private static final double TICK_MS = 5;

    /** Idempotency key window of the platform, as in docs/ARCHITECTURE.md and the adapter. */
    private static final double KEY_WINDOW_MS = 5_000;

    final List<RequestClass> classes;
    final double drainGraceMs;
    final double answerSlackMs;
    final double fallMs;
    final double fallMultiple;
    final double connectTimeoutMs;
    final double connectionIdleMs;
    private final Scenario scenario;

    EmulationSettings(Scenario scenario) {
        this.scenario = scenario;
        classes =
                scenario.classes().stream().map(EmulationSettings::requestClass).toList();
        drainGraceMs = Scenario.toMillis(scenario.rules().drainGrace());
        answerSlackMs = Scenario.toMillis(scenario.rules().answerSlack());
        fallMs = Scenario.toMillis(scenario.rules().fallTime());
        fallMultiple = scenario.rules().fallMultiple();
        connectTimeoutMs = Scenario.toMillis(scenario.sidecars().connectTimeout());
        connectionIdleMs = Scenario.toMillis(scenario.sidecars().connectionIdle());
    }

    private static RequestClass requestClass(RequestClassSpec kind) {
        return new RequestClass(
                Scenario.toMillis(kind.aim()),
                Scenario.toMillis(kind.deadline()),
                kind.worth(),
                kind.lateWorth(),
                kind.effect() == RequestClassSpec.Effect.UNSAFE ? Idempotency.NON_IDEMPOTENT : Idempotency.IDEMPOTENT,
                KeyScope.ALL,
                KEY_WINDOW_MS);
    }

    /** Settings of a sidecar's load balancer. */
    Settings settings(int sidecar, int zone) {
        Sidecars sidecars = scenario.sidecars();
        boolean dear =
                scenario.servers().stream().map(ServerGroup::connectionWork).anyMatch(work -> !work.isZero());
        return new Settings(
                sidecar,
                (int) sidecars.count(),
                zone,
                TICK_MS,
                false,
                scenario.rules().overShareWorth(),
                classes,
                scenario.tenants().stream()
                        .map(tenant -> new LoadBalancer.Tenant(tenant.quota()))
                        .toList(),
                new Limits(
                        (int) sidecars.attempts(),
                        false,
                        sidecars.cancels(),
                        sidecars.probes(),
                        sidecars.retryAfter(),
                        Scenario.toMillis(sidecars.maxRetryAfter()),
                        dear,
                        connectionIdleMs),
                new LoadBalancer.Rules(
                        scenario.rules().coldShare(),
                        Scenario.toMillis(scenario.rules().coldTime()),
                        fallMultiple,
                        fallMs,
                        true,
                        RetryBudgetConfig.UNLIMITED),
                List.of(LoadField.IN_FLIGHT, LoadField.QUEUED, LoadField.LATENCY_MS));
    }
}
