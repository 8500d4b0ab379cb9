package peppergauge.lab.play;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import peppergauge.lab.load.ArrivalSource;
import peppergauge.lab.load.Generator;
import peppergauge.lab.load.Request;
import peppergauge.lab.load.RequestOutcome;
import peppergauge.lab.scenario.ClientSettings;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;
import peppergauge.lab.scenario.Target;
import peppergauge.lab.scenario.Tenant;
import peppergauge.lab.standin.Delay;

/**
 * The clients of one sidecar. Arrivals are a Poisson process whose rate changes only at the times of incidents and
 * bursts, independently of responses. Clients retry after a backoff, may follow Retry-After, and time out.
 *
 * <p>Confined to the loop's thread.
 */
final class ClientSource implements ArrivalSource {

    private static final int DEFAULT_BODY_BYTES = 200;
    /** An attempt is looked up this long after its end, since what was sent for it may still reach a server. */
    private static final double ATTEMPT_RETENTION_MS = 30_000;
    /** Bounds the exponential backoff at 1024 times the first wait. */
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    private static final double RETRY_STORM_BACKOFF_MS = 1;

    private final RunContext context;
    private final RequestMix mix;
    private final IncidentSchedule schedule;
    private final SidecarInstance sidecar;
    private final int sidecarNumber;
    private final ClientSettings clientSettings;
    private final double requestsPerSecond;
    private final double lengthMs;
    private final SplittableRandom arrivalRandom;
    private final SplittableRandom mixRandom;
    private final SplittableRandom behaviorRandom;
    private final DiscreteSampler keys;
    /** The request body of each class, by the index of the class. */
    private final List<String> bodies;
    /** Start times of random bursts, in ms. */
    private final double[] bursts;
    /** All times at which the arrival rate changes, in ms and in order. */
    private final double[] edges;

    private Generator generator;
    private long count;

    ClientSource(
            RunContext context,
            RequestMix mix,
            IncidentSchedule schedule,
            SidecarInstance sidecar,
            int sidecarNumber,
            double requestsPerSecond) {
        this.context = context;
        this.mix = mix;
        this.schedule = schedule;
        this.sidecar = sidecar;
        this.sidecarNumber = sidecarNumber;
        this.requestsPerSecond = requestsPerSecond;
        clientSettings = context.scenario.clients();
        bodies = context.scenario.classes().stream()
                .map(kind -> kind.effect() == RequestClassSpec.Effect.UNSAFE
                        ? "x".repeat(kind.requestKib() == 0 ? DEFAULT_BODY_BYTES : (int) kind.requestKib() * 1024)
                        : "")
                .toList();
        lengthMs = Scenario.toMillis(context.scenario.run().length());
        arrivalRandom = context.random.split();
        mixRandom = context.random.split();
        behaviorRandom = context.random.split();
        SplittableRandom random = context.random.split();
        UniformRandomProvider zipf = random::nextLong;
        keys = clientSettings.keys() == 0
                ? () -> 0
                : RejectionInversionZipfSampler.of(zipf, (int) clientSettings.keys(), clientSettings.zipf());
        bursts = bursts(context.random.split());
        double burstMs = Scenario.toMillis(clientSettings.burstLength());
        edges = DoubleStream.concat(
                        schedule.burstEdgesMs(),
                        DoubleStream.concat(
                                DoubleStream.of(lengthMs),
                                DoubleStream.of(bursts).flatMap(at -> DoubleStream.of(at, at + burstMs))))
                .sorted()
                .toArray();
    }

    private double[] bursts(SplittableRandom random) {
        double everyMs = Scenario.toMillis(clientSettings.burstEvery());
        DoubleStream.Builder all = DoubleStream.builder();
        for (double at = Delay.exponential(random, everyMs);
                everyMs > 0 && at < lengthMs;
                at += Scenario.toMillis(clientSettings.burstLength()) + Delay.exponential(random, everyMs)) {
            all.add(at);
        }
        return all.build().toArray();
    }

    void attach(Generator loadGenerator) {
        generator = loadGenerator;
    }

    // ---- Arrivals ----

    /** Returns the arrival rate at a time, in requests per second. */
    private double rate(double ms) {
        double rate = requestsPerSecond
                * mix.rateFactor(ms)
                * schedule.burstFactor(
                        ms,
                        to -> to.form() == Target.Form.ALL
                                || to.form() == Target.Form.SIDECARS
                                || to.form() == Target.Form.SIDECAR && to.number() == sidecarNumber);
        double burstMs = Scenario.toMillis(clientSettings.burstLength());
        return DoubleStream.of(bursts).anyMatch(at -> ms >= at && ms < at + burstMs)
                ? rate * clientSettings.burstTimes()
                : rate;
    }

    @Override
    public long nextNs(long lastNs) {
        double remaining = Delay.exponential(arrivalRandom, 1);
        double ms = Math.max(0, context.ms(lastNs));
        for (double edge : edges) {
            if (edge > ms) {
                double rate = rate(ms);
                double tookMs = remaining / rate * 1e3;
                if (ms + tookMs < edge) {
                    return context.ns(ms + tookMs);
                }
                remaining -= rate * (edge - ms) / 1e3;
                ms = edge;
            }
            if (ms >= lengthMs) {
                return NEVER;
            }
        }
        return NEVER;
    }

    @Override
    public Request next() {
        double ms = context.nowMs();
        int kind = mix.kind(ms, mixRandom);
        int tenant = mix.tenant(ms, mixRandom);
        RequestClassSpec requestClass = context.scenario.classes().get(kind);
        LogicalRequest logicalRequest = new LogicalRequest(
                kind,
                tenant,
                keys.sample(),
                mix.workMs(kind, ms, mixRandom),
                requestClass.worth() * mix.valueFactor(tenant, ms),
                ms,
                ms + Scenario.toMillis(requestClass.deadline()),
                behaviorRandom.nextDouble() < clientSettings.honour(),
                requestClass.effect() == RequestClassSpec.Effect.UNSAFE,
                mix.poisoned(kind, ms));
        context.meters.requestArrived(logicalRequest);
        return attempt(logicalRequest, ms);
    }

    private Request attempt(LogicalRequest logicalRequest, double ms) {
        RequestClassSpec requestClass = context.scenario.classes().get(logicalRequest.kind);
        double statedMs = Math.min(
                logicalRequest.deadlineMs - ms, clientSettings.tryShare() * Scenario.toMillis(requestClass.deadline()));
        double patienceDraw = behaviorRandom.nextDouble();
        boolean impatient = patienceDraw < clientSettings.impatient();
        String id = context.runId + '-' + sidecarNumber + '-' + count++;
        context.attempts.put(id, new ClientAttempt(id, logicalRequest, ms, impatient));
        context.meters.countTry();
        boolean isRetry = logicalRequest.attempts++ > 0;
        List<Tenant> tenants = context.scenario.tenants();
        return new Request(
                id,
                "/" + requestClass.name() + "/k" + logicalRequest.key,
                tenants.isEmpty() ? "all" : tenants.get(logicalRequest.tenant).name(),
                bodies.get(logicalRequest.kind),
                ns(impatient ? statedMs * patienceDraw / clientSettings.impatient() : statedMs),
                ns(statedMs),
                isRetry && clientSettings.marksRetry());
    }

    private static long ns(double ms) {
        return Math.round(ms * 1e6);
    }

    // ---- Responses ----

    @Override
    public void ended(Request request, RequestOutcome ending, long wantedNs) {
        ClientAttempt attempt = context.attempts.get(request.id());
        context.after(ATTEMPT_RETENTION_MS, () -> context.attempts.remove(request.id()));
        LogicalRequest logicalRequest = attempt.logicalRequest;
        if (ending.served()) {
            context.meters.requestSettled(logicalRequest, true);
        } else if (ending.denied()) {
            context.meters.countRejected();
            if (logicalRequest.unsafe && logicalRequest.executions > 0) {
                context.rules.broken(
                        "twice",
                        "request " + request.id() + " to " + sidecar.name()
                                + " was rejected although a server had executed it");
            }
            boolean followsRetryAfter = logicalRequest.followsRetryAfter
                    && mix.retryStorms(context.nowMs()).isEmpty();
            retry(logicalRequest, followsRetryAfter ? ending.retryAfterNs() / 1e6 : 0);
        } else if (ending.how().equals(RequestOutcome.REFUSED) || ending.how().equals(RequestOutcome.UNSENT)) {
            // No server received the request, so a request of any class may be retried.
            retry(logicalRequest, 0);
        } else {
            failed(attempt, ending);
        }
    }

    private void failed(ClientAttempt attempt, RequestOutcome ending) {
        // A 400 means that the sidecar could not parse the request; clients here send well-formed requests only.
        if (!ending.how().matches("[1-5]\\d\\d") || ending.how().equals("400")) {
            context.rules.unanswered(attempt, sidecar, ending.how());
        } else {
            context.meters.failed();
        }
        if (attempt.logicalRequest.unsafe) {
            context.meters.requestSettled(attempt.logicalRequest, false);
        } else {
            retry(attempt.logicalRequest, 0);
        }
    }

    private void retry(LogicalRequest logicalRequest, double retryAfterMs) {
        List<ScheduledIncident> retryStorms = mix.retryStorms(context.nowMs());
        double maxRetries = retryStorms.isEmpty()
                ? clientSettings.retries()
                : retryStorms.get(0).size().orElse(0.0);
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, logicalRequest.attempts - 1);
        double backoffMs = retryStorms.isEmpty()
                ? Scenario.toMillis(clientSettings.firstWait()) * (1 << doublings) * (0.5 + behaviorRandom.nextDouble())
                : RETRY_STORM_BACKOFF_MS;
        double waitMs = Math.max(backoffMs, retryAfterMs);
        if (logicalRequest.attempts > maxRetries || logicalRequest.deadlineMs - context.nowMs() <= waitMs) {
            context.meters.requestSettled(logicalRequest, false);
        } else {
            double atMs = context.nowMs() + waitMs;
            generator.submit(attempt(logicalRequest, atMs), context.ns(atMs));
        }
    }
}
