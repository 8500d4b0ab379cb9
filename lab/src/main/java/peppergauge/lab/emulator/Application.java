package peppergauge.lab.emulator;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import peppergauge.lab.scenario.ClientSettings;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;

/**
 * The clients of the application beside one sidecar. Requests arrive by a Poisson process whose rate changes with
 * bursts and incidents, independently of responses. A failed attempt is retried with backoff, with or without honouring
 * Retry-After, until the retries or the deadline are exhausted.
 */
final class Application {

    /** A client with less time left before its deadline does not retry. */
    private static final double MIN_RETRY_TIME_MS = 100;

    private final EmulationContext context;
    private final RequestMix requestMix;
    private final EmulatedSidecar sidecar;
    private final ClientSettings clientSettings;
    private final UniformRandomProvider arrivalRandom;
    private final UniformRandomProvider requestRandom;
    private final UniformRandomProvider patienceRandom;
    private final DiscreteSampler keys;
    private final double requestsPerS;
    private double scale = 1;
    private double burst = 1;
    /** Remaining exponential variate until the next arrival; time consumes it in proportion to the arrival rate. */
    private double remaining;

    private double rate;
    private long rateChangedTick;
    private VirtualTime.Event next;
    private boolean closed;

    /** @param requestsPerS arrival rate outside bursts and incidents */
    Application(EmulationContext context, RequestMix requestMix, EmulatedSidecar sidecar, double requestsPerS) {
        this.context = context;
        this.requestMix = requestMix;
        this.sidecar = sidecar;
        this.requestsPerS = requestsPerS;
        clientSettings = context.scenario.clients();
        arrivalRandom = context.streams.of("arrivals/" + sidecar.name());
        requestRandom = context.streams.of("requests/" + sidecar.name());
        patienceRandom = context.streams.of("patience/" + sidecar.name());
        keys = clientSettings.keys() == 0
                ? () -> 0
                : ZipfSampler.of(
                        context.streams.of("keys/" + sidecar.name()),
                        (int) clientSettings.keys(),
                        clientSettings.zipf());
    }

    void start() {
        remaining = RandomStreams.exponential(arrivalRandom);
        changed();
        if (!clientSettings.burstEvery().isZero()) {
            nextBurst(context.streams.of("bursts/" + sidecar.name()));
        }
    }

    void close() {
        closed = true;
        changed();
    }

    private void nextBurst(UniformRandomProvider random) {
        context.time.after(Scenario.toMillis(clientSettings.burstEvery()) * RandomStreams.exponential(random), () -> {
            burst = clientSettings.burstTimes();
            changed();
            context.time.after(Scenario.toMillis(clientSettings.burstLength()), () -> {
                burst = 1;
                changed();
                nextBurst(random);
            });
        });
    }

    void scale(double times) {
        scale *= times;
        changed();
    }

    /** Reschedules the next arrival after a possible change of the arrival rate. */
    void changed() {
        long now = context.time.now();
        remaining -= rate * VirtualTime.ms(now - rateChangedTick) / 1e3;
        rateChangedTick = now;
        // The application and its sidecar start and stop together; pending requests may still be retried.
        rate = closed || !sidecar.up() ? 0 : requestsPerS * burst * scale * requestMix.scale();
        if (next != null) {
            next.cancel();
            next = null;
        }
        if (rate > 0) {
            next = context.time.after(Math.max(0, remaining) / rate * 1e3, this::arrive);
        }
    }

    private void arrive() {
        remaining = RandomStreams.exponential(arrivalRandom);
        rateChangedTick = context.time.now();
        next = null;
        changed();
        int kind = requestMix.kind(requestRandom);
        int tenant = requestMix.tenant(requestRandom);
        RequestClassSpec requestKind = context.scenario.classes().get(kind);
        double workMs =
                RandomStreams.spread(requestRandom, Scenario.toMillis(requestKind.work()), requestKind.workSpread());
        ClientRequest request = new ClientRequest(
                context,
                requestMix.number(),
                kind,
                tenant,
                keys.sample(),
                workMs * requestMix.workFactor(kind, requestRandom),
                requestKind.worth() * requestMix.worthFactor(tenant),
                patienceRandom.nextDouble() < clientSettings.honour());
        request.poison = requestMix.poisoned(kind);
        context.meters.countArrival(request);
        attempt(request);
    }

    private void attempt(ClientRequest request) {
        double wholeMs = context.settings.classes.get(request.kind).deadlineMs();
        double leftMs = VirtualTime.ms(request.deadline - context.time.now());
        double remainingMs = Math.min(leftMs, clientSettings.tryShare() * wholeMs);
        boolean isRetry = request.tries++ > 0;
        double patienceDraw = patienceRandom.nextDouble();
        if (!sidecar.up()) {
            // The connection is refused and nothing was processed, so a request of any class may be retried.
            retry(request, 0);
            return;
        }
        double patienceMs = patienceDraw < clientSettings.impatient()
                ? remainingMs * patienceDraw / clientSettings.impatient()
                : Double.POSITIVE_INFINITY;
        context.meters.countTry();
        new ClientAttempt(requestMix.number(), request, sidecar, this)
                .send(remainingMs, patienceMs, isRetry && clientSettings.marksRetry());
    }

    void served(ClientAttempt attempt) {
        settle(attempt.request, true);
    }

    void denied(ClientAttempt attempt, double retryAfterMs) {
        retry(attempt.request, attempt.request.honoursRetryAfter && !requestMix.isRetryStorm() ? retryAfterMs : 0);
    }

    void failed(ClientAttempt attempt) {
        if (attempt.request.isNonIdempotent()) {
            settle(attempt.request, false);
        } else {
            retry(attempt.request, 0);
        }
    }

    private void retry(ClientRequest request, double retryAfterMs) {
        int wait = Math.min(10, request.tries - 1);
        double backoffMs = requestMix.isRetryStorm()
                ? 1
                : Scenario.toMillis(clientSettings.firstWait()) * (1 << wait) * (0.5 + patienceRandom.nextDouble());
        double waitMs = Math.max(backoffMs, retryAfterMs);
        double leftMs = VirtualTime.ms(request.deadline - context.time.now()) - waitMs;
        if (request.tries > requestMix.retries() || leftMs < MIN_RETRY_TIME_MS) {
            settle(request, false);
        } else {
            context.time.after(waitMs, () -> attempt(request));
        }
    }

    private void settle(ClientRequest request, boolean served) {
        if (!request.settled) {
            request.settled = true;
            context.meters.countEnd(request, served);
        }
    }

    /** Arrival rates in requests per second, one per application; the scenario's skew distributes the total rate. */
    static List<Double> rates(Scenario scenario) {
        int count = (int) scenario.sidecars().count();
        double[] shares = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            shares[i] = StrictMath.pow(i + 1, -scenario.sidecars().skew());
            sum += shares[i];
        }
        double whole = sum;
        return Arrays.stream(shares)
                .mapToObj(share -> scenario.clients().rate() * share / whole)
                .toList();
    }
}
