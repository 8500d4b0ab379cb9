package peppergauge.fleet.service;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.disk.KeptState;
import peppergauge.fleet.state.FleetState;
import peppergauge.fleet.state.Intake.Held;
import peppergauge.fleet.state.Intake.Newest;
import peppergauge.fleet.state.Tally;
import peppergauge.fleet.wire.DaemonReport;

/** The duty that owns what is merged: all else hands in and is handed out. */
final class Merging {

    /** What is handed in. */
    sealed interface Item {}

    record Reported(List<DaemonReport> reports, boolean firstHand) implements Item {}

    /** Another instance asks what changed. */
    record Asked(long since, boolean all, Consumer<FleetState.Changes> answer) implements Item {}

    private static final int AT_ONCE = 256;
    /** Of one answer to another instance. */
    private static final long ANSWER_BYTES = 4 << 20;

    private static final long FORGET_EVERY_MS = 10_000;

    private final ServiceSettings settings;
    private final LongSupplier clock;
    private final Ring<Item> ring;
    private final Latest<MergedView> views = new Latest<>();
    private final Latest<MergedView> forecastFrom = new Latest<>();
    private final Latest<Supplier<KeptState>> kept = new Latest<>();
    private final FleetState state = new FleetState();
    private final Tally tally;
    private final Map<String, Newest> newest = new ConcurrentHashMap<>();
    private volatile byte[] plannerState = new byte[0];
    private volatile byte[] forecastState = new byte[0];
    private volatile int live;
    private volatile long bytes;
    private final long startedMs;
    private long viewedMs;
    private long keptMs;
    private long forgottenMs;

    /** @param before of the disk, null for nothing */
    Merging(ServiceSettings settings, LongSupplier clock, KeptState before) {
        this.settings = settings;
        this.clock = clock;
        ring = new Ring<>(settings.sizes().ring());
        startedMs = clock.getAsLong();
        keptMs = startedMs;
        tally = before == null
                ? new Tally(settings.sizes().cells())
                : new Tally(settings.sizes().cells(), before.tally());
        if (before != null) {
            // Already in the totals.
            before.reports().forEach(report -> {
                state.take(report);
                note(report);
            });
            plannerState = before.planner();
            forecastState = before.forecasts();
        }
    }

    boolean offer(Item item) {
        return ring.offer(item);
    }

    boolean step() {
        boolean worked = ring.drain(this::carryOut, AT_ONCE);
        long now = clock.getAsLong();
        bytes = state.bytes();
        views.retry();
        forecastFrom.retry();
        kept.retry();
        if (now - viewedMs >= settings.tables().everyMs() || now < viewedMs) {
            viewedMs = now;
            live = state.sentSince(now - 3 * settings.reports().mostMs());
            MergedView view = view(now);
            views.hand(view);
            forecastFrom.hand(view);
        }
        if (now - keptMs >= settings.times().keepMs() || now < keptMs) {
            keptMs = now;
            kept.hand(account());
        }
        if (now - forgottenMs >= FORGET_EVERY_MS || now < forgottenMs) {
            forgottenMs = now;
            state.forget(now, settings.limits().forgetMs());
            newest.keySet().removeIf(daemon -> state.newest(daemon) == null);
        }
        return worked;
    }

    private void carryOut(Item item) {
        if (item instanceof Asked asked) {
            asked.answer().accept(state.since(asked.since(), ANSWER_BYTES, asked.all()));
        } else if (item instanceof Reported reported) {
            reported.reports().forEach(report -> take(report, reported.firstHand()));
        }
    }

    private void take(DaemonReport report, boolean firstHand) {
        long now = clock.getAsLong();
        // What is older would come back from another instance's memory as often as it is forgotten here.
        if (now - report.sentMs() > settings.limits().forgetMs() || !room(report)) {
            return;
        }
        FleetState.Change change = state.take(report, firstHand);
        if (change != null) {
            tally.count(change, now, settings.limits().forgetMs());
            note(state.newest(report.daemon()));
        }
    }

    /** Also for what another instance took. */
    private boolean room(DaemonReport report) {
        return state.bytes() < settings.limits().bytes()
                && (state.newest(report.daemon()) != null
                        || state.size() < settings.limits().daemons());
    }

    private void note(DaemonReport report) {
        newest.put(report.daemon(), new Newest(report.incarnation(), report.sequence()));
    }

    private MergedView view(long nowMs) {
        Map<String, MergedView.Account> accounts = new HashMap<>();
        state.newest().stream()
                .filter(report -> report.keys() != null)
                .forEach(report -> accounts.put(
                        report.daemon(),
                        new MergedView.Account(
                                report.incarnation(),
                                report.sentMs(),
                                report.keys(),
                                report.servers(),
                                report.serviceTimes(),
                                report.levels())));
        return new MergedView(nowMs, tally.totals(), accounts, live);
    }

    /** As of now; written out by whoever asks, for that takes time. */
    private Supplier<KeptState> account() {
        List<DaemonReport> reports = state.reports();
        Map<peppergauge.promises.TrafficKey, Tally.Total> totals = tally.totals();
        return () -> KeptState.of(reports, totals, plannerState, forecastState);
    }

    /** When no thread steps any more. */
    KeptState lastAccount() {
        return account().get();
    }

    Latest<MergedView> views() {
        return views;
    }

    /** The same, for another duty. */
    Latest<MergedView> forecastFrom() {
        return forecastFrom;
    }

    Latest<Supplier<KeptState>> kept() {
        return kept;
    }

    /** Any thread. */
    Newest newest(String daemon) {
        return newest.get(daemon);
    }

    /** Any thread. */
    Held held() {
        return new Held(newest.size(), bytes);
    }

    /** Daemons that reported lately; any thread. */
    int live() {
        return live;
    }

    /** Daemons to reckon with: a process that has just started has not yet heard of all. Any thread. */
    int expected() {
        boolean young = clock.getAsLong() - startedMs < 2 * settings.reports().mostMs();
        return young ? Math.max(live, newest.size()) : live;
    }

    long refused() {
        return ring.refused();
    }

    byte[] plannerState() {
        return plannerState;
    }

    void plannerState(byte[] state) {
        plannerState = state;
    }

    byte[] forecastState() {
        return forecastState;
    }

    void forecastState(byte[] state) {
        forecastState = state;
    }
}
