package peppergauge.lab.play;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import peppergauge.lab.load.Ending;
import peppergauge.lab.load.Generator;
import peppergauge.lab.load.Request;
import peppergauge.lab.load.Source;
import peppergauge.lab.scenario.Entry;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.Target;
import peppergauge.lab.scenario.Tenant;
import peppergauge.lab.standin.Delay;

/**
 * The clients of one sidecar: a Poisson process whose rate the script and bursts change at known times, so that no
 * answer moves an arrival. They try again, wait, follow Retry-After or not, and give up.
 */
final class Clients implements Source {

    private static final int USUAL_BODY = 200;
    /** How long a try is remembered after its end: a server may still get what was sent for it, ms. */
    private static final double REMEMBERED_MS = 30_000;

    private final Stage stage;
    private final Demand demand;
    private final Script script;
    private final Seat seat;
    private final int number;
    private final peppergauge.lab.scenario.Clients figures;
    private final double ownRate;
    private final double lengthMs;
    private final SplittableRandom arrivals;
    private final SplittableRandom what;
    private final SplittableRandom patience;
    private final DiscreteSampler keys;
    /** Of each class. */
    private final List<String> bodies;
    /** Beginnings of bursts, ms, and all times at which the rate changes. */
    private final double[] bursts;

    private final double[] edges;
    private Generator generator;
    private long count;

    Clients(Stage stage, Demand demand, Script script, Seat seat, int number, double ownRate) {
        this.stage = stage;
        this.demand = demand;
        this.script = script;
        this.seat = seat;
        this.number = number;
        this.ownRate = ownRate;
        figures = stage.scenario.clients();
        bodies = stage.scenario.classes().stream()
                .map(kind -> kind.effect() == RequestKind.Effect.UNSAFE
                        ? "x".repeat(kind.requestKib() == 0 ? USUAL_BODY : (int) kind.requestKib() * 1024)
                        : "")
                .toList();
        lengthMs = Scenario.ms(stage.scenario.run().length());
        arrivals = stage.luck.split();
        what = stage.luck.split();
        patience = stage.luck.split();
        SplittableRandom luck = stage.luck.split();
        UniformRandomProvider zipf = luck::nextLong;
        keys = figures.keys() == 0
                ? () -> 0
                : RejectionInversionZipfSampler.of(zipf, (int) figures.keys(), figures.zipf());
        bursts = bursts(stage.luck.split());
        double burstMs = Scenario.ms(figures.burstLength());
        edges = DoubleStream.concat(
                        script.edges(),
                        DoubleStream.concat(
                                DoubleStream.of(lengthMs),
                                DoubleStream.of(bursts).flatMap(at -> DoubleStream.of(at, at + burstMs))))
                .sorted()
                .toArray();
    }

    private double[] bursts(SplittableRandom random) {
        double everyMs = Scenario.ms(figures.burstEvery());
        DoubleStream.Builder all = DoubleStream.builder();
        for (double at = Delay.exponential(random, everyMs);
                everyMs > 0 && at < lengthMs;
                at += Scenario.ms(figures.burstLength()) + Delay.exponential(random, everyMs)) {
            all.add(at);
        }
        return all.build().toArray();
    }

    void use(Generator with) {
        generator = with;
    }

    // ---- Arrivals ----

    /** Requests a second. */
    private double rate(double ms) {
        double rate = ownRate
                * demand.scale(ms)
                * script.burst(
                        ms,
                        to -> to.form() == Target.Form.ALL
                                || to.form() == Target.Form.SIDECARS
                                || to.form() == Target.Form.SIDECAR && to.number() == number);
        double burstMs = Scenario.ms(figures.burstLength());
        return DoubleStream.of(bursts).anyMatch(at -> ms >= at && ms < at + burstMs)
                ? rate * figures.burstTimes()
                : rate;
    }

    @Override
    public long nextNs(long lastNs) {
        double left = Delay.exponential(arrivals, 1);
        double ms = Math.max(0, stage.ms(lastNs));
        for (double edge : edges) {
            if (edge > ms) {
                double rate = rate(ms);
                double tookMs = left / rate * 1e3;
                if (ms + tookMs < edge) {
                    return stage.ns(ms + tookMs);
                }
                left -= rate * (edge - ms) / 1e3;
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
        double ms = stage.nowMs();
        int kind = demand.kind(ms, what);
        int tenant = demand.tenant(ms, what);
        RequestKind about = stage.scenario.classes().get(kind);
        Wish wish = new Wish(
                kind,
                tenant,
                keys.sample(),
                demand.workMs(kind, ms, what),
                about.worth() * demand.worthShare(tenant, ms),
                ms,
                ms + Scenario.ms(about.deadline()),
                patience.nextDouble() < figures.honour(),
                about.effect() == RequestKind.Effect.UNSAFE,
                demand.poisoned(kind, ms));
        stage.meters.asked(wish);
        return attempt(wish, ms);
    }

    private Request attempt(Wish wish, double ms) {
        RequestKind about = stage.scenario.classes().get(wish.kind);
        double saysMs = Math.min(wish.deadlineMs - ms, figures.tryShare() * Scenario.ms(about.deadline()));
        double early = patience.nextDouble();
        boolean impatient = early < figures.impatient();
        String id = stage.run + '-' + number + '-' + count++;
        stage.tries.put(id, new Try(wish, ms, impatient));
        stage.meters.tried();
        boolean again = wish.tries++ > 0;
        List<Tenant> tenants = stage.scenario.tenants();
        return new Request(
                id,
                "/" + about.name() + "/k" + wish.key,
                tenants.isEmpty() ? "all" : tenants.get(wish.tenant).name(),
                bodies.get(wish.kind),
                ns(impatient ? saysMs * early / figures.impatient() : saysMs),
                ns(saysMs),
                again && figures.marksRetry());
    }

    private static long ns(double ms) {
        return Math.round(ms * 1e6);
    }

    // ---- Answers ----

    @Override
    public void ended(Request request, Ending ending, long wantedNs) {
        Try session = stage.tries.get(request.id());
        stage.after(REMEMBERED_MS, () -> stage.tries.remove(request.id()));
        Wish wish = session.wish;
        if (ending.served()) {
            stage.meters.settled(wish, true);
        } else if (ending.denied()) {
            stage.meters.denied();
            if (wish.unsafe && wish.ran > 0) {
                stage.rules.broken("twice", "a session of " + seat.name() + " was denied, although its request ran");
            }
            retry(wish, wish.honours && demand.storms(stage.nowMs()).isEmpty() ? ending.retryAfterNs() / 1e6 : 0);
        } else if (ending.how().equals(Ending.REFUSED) || ending.how().equals(Ending.UNSENT)) {
            // Nothing was taken, so that any class may try again.
            retry(wish, 0);
        } else {
            failed(session, ending);
        }
    }

    private void failed(Try session, Ending ending) {
        // 400 is the sidecar's word for what it cannot read: here all can be read.
        if (!ending.how().matches("[1-5]\\d\\d") || ending.how().equals("400")) {
            stage.rules.unanswered(session, seat, ending.how());
        } else {
            stage.meters.failed();
        }
        if (session.wish.unsafe) {
            stage.meters.settled(session.wish, false);
        } else {
            retry(session.wish, 0);
        }
    }

    private void retry(Wish wish, double askedMs) {
        List<Entry> storms = demand.storms(stage.nowMs());
        double most =
                storms.isEmpty() ? figures.retries() : storms.get(0).size().orElse(0.0);
        int wait = Math.min(10, wish.tries - 1);
        double ownMs =
                storms.isEmpty() ? Scenario.ms(figures.firstWait()) * (1 << wait) * (0.5 + patience.nextDouble()) : 1;
        double waitMs = Math.max(ownMs, askedMs);
        if (wish.tries > most || wish.deadlineMs - stage.nowMs() <= waitMs) {
            stage.meters.settled(wish, false);
        } else {
            double atMs = stage.nowMs() + waitMs;
            generator.ask(attempt(wish, atMs), stage.ns(atMs));
        }
    }
}
