package peppergauge.lab.rig;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.load.ArrivalSource;
import peppergauge.lab.load.Generator;
import peppergauge.lab.load.Request;
import peppergauge.lab.load.RequestOutcome;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.Tenant;

/**
 * Load from the application of one sidecar: requests of a Poisson process, with one retry of each rejected request. Its
 * clients wait longer than the deadline that they announce, so that the history contains when a late response came.
 */
final class SidecarLoad implements ArrivalSource {

    private static final String BODY = "x".repeat(200);
    /** How long a client waits beyond the deadline and its slack. */
    private static final double EXTRA_WAIT_MS = 1_500;

    private static final double SLACK_MS = 50;
    /** Tenant of the requests where the scenario has no tenants. */
    private static final String DEFAULT_TENANT = "all";

    private final Scenario scenario;
    private final EventRecorder recorder;
    private final String sidecar;
    private final String run;
    private final double ratePerS;
    private final UniformRandomProvider random;
    private Generator generator;
    private long count;
    private int openRequests;
    private boolean stopped;

    /** @param run prefix of all request IDs, so that two runs on one machine cannot be mixed up */
    SidecarLoad(Scenario scenario, EventRecorder recorder, String sidecar, String run, long seed, double ratePerS) {
        this.scenario = scenario;
        this.recorder = recorder;
        this.sidecar = sidecar;
        this.run = run;
        this.ratePerS = ratePerS;
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    }

    /** Returns how long after the end of the load responses may still arrive, in ms. */
    static double maxResponseTimeMs(Scenario scenario) {
        return scenario.classes().stream()
                        .mapToDouble(kind -> Scenario.toMillis(kind.deadline()))
                        .max()
                        .orElse(0)
                + Scenario.toMillis(scenario.rules().answerSlack())
                + EXTRA_WAIT_MS
                + 4 * SLACK_MS;
    }

    /** Returns the number of requests that have not ended. */
    int openRequests() {
        return openRequests;
    }

    /** Creates no new requests from now on; requests that are already due are still sent. */
    void stop() {
        stopped = true;
    }

    void setGenerator(Generator generator) {
        this.generator = generator;
    }

    @Override
    public long nextNs(long lastNs) {
        long atNs = lastNs + (long) (-Math.log(1 - random.nextDouble()) / ratePerS * 1e9);
        return stopped ? NEVER : atNs;
    }

    @Override
    public Request next() {
        String tenant = scenario.tenants().isEmpty()
                ? ""
                : weightedChoice(scenario.tenants(), Tenant::share).name();
        return request(
                weightedChoice(scenario.classes(), RequestClassSpec::share),
                tenant,
                run + '-' + sidecar.substring(sidecar.indexOf('-') + 1) + '-' + count++ + ".0",
                System.nanoTime());
    }

    private <T> T weightedChoice(List<T> all, ToDoubleFunction<T> share) {
        double left = random.nextDouble() * all.stream().mapToDouble(share).sum();
        for (T each : all) {
            left -= share.applyAsDouble(each);
            if (left < 0) {
                return each;
            }
        }
        return all.get(all.size() - 1);
    }

    private Request request(RequestClassSpec kind, String tenant, String id, long atNs) {
        openRequests++;
        boolean unsafe = kind.effect() == RequestClassSpec.Effect.UNSAFE;
        double deadlineMs = Scenario.toMillis(kind.deadline());
        recorder.add(new Event(
                atNs,
                EventKind.ASKED,
                TopologyNames.CLIENTS,
                sidecar,
                id,
                (long) deadlineMs,
                (unsafe ? "unsafe " : "safe ") + (kind.name() + ' ' + tenant).trim()));
        double clientTimeoutMs = deadlineMs + Scenario.toMillis(scenario.rules().answerSlack()) + EXTRA_WAIT_MS;
        long keys = Math.max(1, scenario.clients().keys());
        return new Request(
                id,
                '/' + kind.name() + "/k" + random.nextLong(keys),
                tenant.isEmpty() ? DEFAULT_TENANT : tenant,
                unsafe ? BODY : "",
                (long) (clientTimeoutMs * 1e6),
                (long) (deadlineMs * 1e6),
                false);
    }

    @Override
    public void ended(Request request, RequestOutcome ending, long wantedNs) {
        openRequests--;
        recorder.add(new Event(System.nanoTime(), EventKind.ENDED, sidecar, "", request.id(), 0, ending.how()));
        int dot = request.id().lastIndexOf('.');
        long atNs = System.nanoTime() + ending.retryAfterNs();
        if (ending.denied() && request.id().endsWith(".0") && !stopped) {
            String name = request.path().split("/")[1];
            RequestClassSpec kind = scenario.classes().stream()
                    .filter(one -> one.name().equals(name))
                    .findFirst()
                    .orElseThrow();
            String tenant = scenario.tenants().isEmpty() ? "" : request.tenant();
            generator.submit(request(kind, tenant, request.id().substring(0, dot) + ".1", atNs), atNs);
        }
    }
}
