package peppergauge.lab.emulator;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import peppergauge.lab.scenario.Clients;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;

/**
 * The clients of the application beside one sidecar. Requests arrive by a Poisson process whose rate changes with
 * bursts and incidents, independently of responses. A failed attempt is retried with backoff, with or without honouring
 * Retry-After, until the retries or the deadline are exhausted.
 */
final class Application {

    /** A client with less time left before its deadline does not retry. */
    private static final double LEAST_TRY_MS = 100;

    private final World world;
    private final Demand demand;
    private final EmulatedSidecar sidecar;
    private final Clients figures;
    private final UniformRandomProvider arrivals;
    private final UniformRandomProvider what;
    private final UniformRandomProvider patience;
    private final DiscreteSampler keys;
    private final double ownRate;
    private double scale = 1;
    private double burst = 1;
    /** Remaining exponential variate until the next arrival; time consumes it in proportion to the arrival rate. */
    private double left;

    private double rate;
    private long since;
    private VirtualTime.Event next;
    private boolean closed;

    /** @param ownRate requests a second */
    Application(World world, Demand demand, EmulatedSidecar sidecar, double ownRate) {
        this.world = world;
        this.demand = demand;
        this.sidecar = sidecar;
        this.ownRate = ownRate;
        figures = world.scenario.clients();
        arrivals = world.streams.of("arrivals/" + sidecar.name());
        what = world.streams.of("requests/" + sidecar.name());
        patience = world.streams.of("patience/" + sidecar.name());
        keys = figures.keys() == 0
                ? () -> 0
                : RejectionInversionZipfSampler.of(
                        world.streams.of("keys/" + sidecar.name()), (int) figures.keys(), figures.zipf());
    }

    void start() {
        left = Streams.exponential(arrivals);
        changed();
        if (!figures.burstEvery().isZero()) {
            nextBurst(world.streams.of("bursts/" + sidecar.name()));
        }
    }

    void close() {
        closed = true;
        changed();
    }

    private void nextBurst(UniformRandomProvider random) {
        world.time.after(Scenario.ms(figures.burstEvery()) * Streams.exponential(random), () -> {
            burst = figures.burstTimes();
            changed();
            world.time.after(Scenario.ms(figures.burstLength()), () -> {
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
        long now = world.time.now();
        left -= rate * VirtualTime.ms(now - since) / 1e3;
        since = now;
        // The application and its sidecar start and stop together; pending requests may still be retried.
        rate = closed || !sidecar.up() ? 0 : ownRate * burst * scale * demand.scale();
        if (next != null) {
            next.cancel();
            next = null;
        }
        if (rate > 0) {
            next = world.time.after(Math.max(0, left) / rate * 1e3, this::arrive);
        }
    }

    private void arrive() {
        left = Streams.exponential(arrivals);
        since = world.time.now();
        next = null;
        changed();
        int kind = demand.kind(what);
        int tenant = demand.tenant(what);
        RequestKind about = world.scenario.classes().get(kind);
        double workMs = Streams.spread(what, Scenario.ms(about.work()), about.workSpread());
        ClientRequest request = new ClientRequest(
                world,
                demand.number(),
                kind,
                tenant,
                keys.sample(),
                workMs * demand.workTimes(kind, what),
                about.worth() * demand.worthShare(tenant),
                patience.nextDouble() < figures.honour());
        request.poison = demand.poisoned(kind);
        world.meters.asked(request);
        attempt(request);
    }

    private void attempt(ClientRequest request) {
        double wholeMs = world.figures.classes.get(request.kind).deadlineMs();
        double leftMs = VirtualTime.ms(request.deadline - world.time.now());
        double remainingMs = Math.min(leftMs, figures.tryShare() * wholeMs);
        boolean again = request.tries++ > 0;
        double early = patience.nextDouble();
        if (!sidecar.up()) {
            // The connection is refused and nothing was processed, so a request of any class may be retried.
            retry(request, 0);
            return;
        }
        double patienceMs =
                early < figures.impatient() ? remainingMs * early / figures.impatient() : Double.POSITIVE_INFINITY;
        world.meters.tried();
        new Try(demand.number(), request, sidecar, this).ask(remainingMs, patienceMs, again && figures.marksRetry());
    }

    void served(Try session) {
        settle(session.request, true);
    }

    void denied(Try session, double retryAfterMs) {
        retry(session.request, session.request.honours && !demand.stormy() ? retryAfterMs : 0);
    }

    void failed(Try session) {
        if (session.request.unsafe()) {
            settle(session.request, false);
        } else {
            retry(session.request, 0);
        }
    }

    private void retry(ClientRequest request, double askedMs) {
        int wait = Math.min(10, request.tries - 1);
        double ownMs =
                demand.stormy() ? 1 : Scenario.ms(figures.firstWait()) * (1 << wait) * (0.5 + patience.nextDouble());
        double waitMs = Math.max(ownMs, askedMs);
        double leftMs = VirtualTime.ms(request.deadline - world.time.now()) - waitMs;
        if (request.tries > demand.retries() || leftMs < LEAST_TRY_MS) {
            settle(request, false);
        } else {
            world.time.after(waitMs, () -> attempt(request));
        }
    }

    private void settle(ClientRequest request, boolean served) {
        if (!request.settled) {
            request.settled = true;
            world.meters.settled(request, served);
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
        return java.util.Arrays.stream(shares)
                .mapToObj(share -> scenario.clients().rate() * share / whole)
                .toList();
    }
}
