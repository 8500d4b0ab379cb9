package peppergauge.overload;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A closed loop in virtual time: clients that think, ask, wait for a while, and ask again up to twice; and a program of
 * one thread that reads and serves in rounds. A session costs 3 ms of CPU, half when it is admitted and half when its
 * service, somewhere else, has ended; a denied one a quarter. The program does not see that a client left. There are
 * clients for 0.7 of the capacity, and from 2 to 7 s for three times the capacity.
 */
final class OverloadSimulation {

    private static final double COST_MS = 3, SERVICE_MS = 20, SELECT_MS = 20, PERIOD_MS = 100;
    private static final int OVER_FROM_S = 2, OVER_UNTIL_S = 7;

    /** How long clients wait, think, and stay away at most; the program gets {@code quota} of each 0.1 s of a core. */
    record Setting(double patienceMs, double thinkMs, double longestMs, double quota) {

        /** Sessions a second that the program can serve. */
        double capacityPerS() {
            return 1_000 * quota / COST_MS;
        }
    }

    private record Event(double atMs, Runnable run) {}

    /** One try of a client. */
    private final class Try {

        private final int client, number;
        private final String id = "t" + tries++;
        private boolean over;

        Try(int client, int number) {
            this.client = client;
            this.number = number;
            if (client < base || nowMs < OVER_UNTIL_S * 1_000) {
                unread.add(this);
                at(nowMs + setting.patienceMs, () -> ends(random.nextDouble(20, 60)));
            }
        }

        /** Answered, denied or given up; 0 if the client is content, else after how long it asks again. */
        void ends(double againMs) {
            if (!over) {
                over = true;
                boolean again = againMs > 0 && number < 2;
                at(nowMs + (again ? againMs : think()), () -> new Try(client, again ? number + 1 : 0));
            }
        }
    }

    /** By the second: answered in time, and denied; and answered in time during the overload by class. */
    final int[] good = new int[60], denied = new int[60], goodOf = new int[3];

    final OverloadController<Integer, Runnable> overload;
    private final Setting setting;
    private final boolean guarded;
    private final int base;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));
    private final List<Try> unread = new ArrayList<>();
    private final List<Runnable> ended = new ArrayList<>();
    private double nowMs, used;
    private long period, tries;

    /** {@code guarded}: whether the program asks {@link OverloadController} or takes all that comes, in order of arrival. */
    OverloadSimulation(Setting setting, boolean guarded, long seed) {
        this.setting = setting;
        this.guarded = guarded;
        random = new SplittableRandom(seed);
        overload = new OverloadController<>(
                OverloadConfig.of(List.of(5.0, 1.0, 10.0), 0.05, true, setting.longestMs, SELECT_MS, seed));
        base = (int) (0.7 * setting.capacityPerS() * (setting.thinkMs + SERVICE_MS) / 1_000);
        for (int client = 0; client < 3 * setting.capacityPerS() * setting.thinkMs / 1_000; client++) {
            int each = client;
            at((client < base ? 0 : OVER_FROM_S * 1_000) + think(), () -> new Try(each, 0));
        }
    }

    private double think() {
        return -Math.log(1 - random.nextDouble()) * setting.thinkMs;
    }

    private void at(double whenMs, Runnable run) {
        events.add(new Event(whenMs, run));
    }

    /** Virtual time passes, and what is due in it happens. */
    private void until(double whenMs) {
        while (!events.isEmpty() && events.peek().atMs <= whenMs) {
            Event event = events.poll();
            nowMs = Math.max(nowMs, event.atMs);
            event.run.run();
        }
        nowMs = whenMs;
    }

    /** The program computes for so long; a quota that is used up stops it until the next 0.1 s. */
    private void compute(double ms) {
        for (double left = ms; left > 1e-9; ) {
            long now = (long) Math.floor(nowMs / PERIOD_MS + 1e-9);
            used = now == period ? used : 0;
            period = now;
            double step = Math.min(left, Math.min(PERIOD_MS * setting.quota - used, PERIOD_MS * (period + 1) - nowMs));
            used += step;
            left -= step;
            until(used > PERIOD_MS * setting.quota - 1e-9 ? PERIOD_MS * (period + 1) : nowMs + step);
        }
    }

    OverloadSimulation run(int untilS) {
        while (nowMs < untilS * 1_000) {
            double latestMs = nowMs + SELECT_MS;
            while (unread.isEmpty() && ended.isEmpty() && nowMs < latestMs) {
                until(events.isEmpty() ? latestMs : Math.min(latestMs, events.peek().atMs));
            }
            overload.onSelectReturned(nowMs);
            ended.forEach(overload.queue()::addInProgress);
            ended.clear();
            unread.forEach(one -> overload.queue().addNew(one.id, () -> handle(one)));
            unread.clear();
            compute(0.02);
            while (overload.queue().size() > 0) {
                (guarded ? overload.poll() : overload.queue().poll(false)).run();
            }
            overload.onRoundEnded(nowMs, true);
        }
        return this;
    }

    private void handle(Try one) {
        AdmissionRequest arrival = new AdmissionRequest(
                one.id,
                one.client % 3,
                one.number > 0,
                false,
                setting.patienceMs - (nowMs - overload.earliestArrivalMs()));
        if (!guarded || overload.admit(nowMs, arrival) == AdmissionDecision.ADMIT) {
            compute(COST_MS / 2);
            double admittedMs = nowMs;
            at(nowMs + SERVICE_MS, () -> ended.add(() -> serve(one, admittedMs)));
        } else {
            compute(COST_MS / 4);
            denied[(int) (nowMs / 1_000)]++;
            double afterMs = overload.retryAfterMs(nowMs, 5_000);
            one.ends(afterMs > 0 ? afterMs : random.nextDouble(20, 60));
        }
    }

    private void serve(Try one, double admittedMs) {
        overload.onResponse(nowMs, nowMs - admittedMs);
        compute(COST_MS / 2);
        if (!one.over) {
            int second = (int) (nowMs / 1_000);
            good[second]++;
            goodOf[one.client % 3] += second >= OVER_FROM_S && second < OVER_UNTIL_S ? 1 : 0;
            one.ends(0);
        }
    }

    /** Answered in time, as a share of the capacity. */
    double goodput(int fromS, int untilS) {
        return sum(good, fromS, untilS) / setting.capacityPerS() / (untilS - fromS);
    }

    static int sum(int[] bySecond, int fromS, int untilS) {
        return Arrays.stream(bySecond, fromS, untilS).sum();
    }
}
