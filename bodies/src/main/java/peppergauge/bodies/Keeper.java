package peppergauge.bodies;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import peppergauge.bodies.flow.KeptBody;
import peppergauge.bodies.flow.Pipe;
import peppergauge.bodies.flow.Shared;
import peppergauge.bodies.ledger.Ledger;
import peppergauge.bodies.ledger.Letting;
import peppergauge.bodies.ledger.Move;
import peppergauge.bodies.ledger.Owner;
import peppergauge.bodies.ledger.Tier;
import peppergauge.bodies.limits.Windows;
import peppergauge.bodies.spool.Spool;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.log.Log;
import peppergauge.request.BodyWriter;
import peppergauge.request.Clock;
import peppergauge.request.IncomingRequest;
import peppergauge.request.LargeBodies;
import peppergauge.request.Scheduler;

/** Takes all long bodies of a sidecar: what the ledger decides is done here, on the owner's thread. */
public final class Keeper implements LargeBodies, KeptBody.Home, Shared.Ends {

    /** A class that is worth nothing has a claim all the same. */
    private static final double LEAST_WORTH = 1e-3;
    /** Advice to who found no room, ms, where the settings do not bound it lower: bodies last seconds. */
    private static final double COME_BACK_MS = 1_000;

    private final BodiesSettings settings;
    private final List<RequestClass> classes;
    private final Set<Integer> keptOnly;
    private final double comeBackMs;
    private final Scheduler scheduler;
    private final Ledger ledger;
    private final Windows windows;
    private final Spool spool;
    private final Shared shared;
    private final Map<Long, KeptBody> bodies = new HashMap<>();
    private final Map<Long, Integer> classOf = new HashMap<>();
    private Runnable whenIdle;
    private long lastId;
    private long taken;
    private long passed;
    private long refused;
    private long slow;
    private long files;

    /**
     * @param names of the classes, in the settings' order
     * @param spool for files; not asked where the settings keep none
     */
    public Keeper(
            BodiesSettings settings,
            List<RequestClass> classes,
            List<String> names,
            Limits limits,
            Clock clock,
            Scheduler scheduler,
            Spool spool) {
        this.settings = settings;
        this.classes = classes;
        this.scheduler = scheduler;
        this.spool = spool;
        keptOnly = IntStream.range(0, names.size())
                .filter(i -> settings.keptOnly().contains(names.get(i)))
                .boxed()
                .collect(Collectors.toSet());
        comeBackMs = limits.retryAfter() ? Math.min(limits.maxRetryAfterMs(), COME_BACK_MS) : 0;
        ledger = new Ledger(settings.keeps());
        windows = new Windows(settings.window(), settings.windows());
        shared = new Shared(
                clock,
                scheduler,
                windows,
                settings.windows(),
                settings.leastRate(),
                settings.rateOver().toMillis(),
                this);
    }

    // ---- Bodies ----

    @Override
    public boolean acceptsLargeBodies() {
        return true;
    }

    @Override
    public BodyWriter openRequestBody(IncomingRequest asked, long length, Upload upload) {
        int kind = asked.requestClass();
        long id = ++lastId;
        Letting letting = length > settings.longestRequest()
                ? Letting.TOO_LONG
                : ledger.open(
                        id,
                        new Owner(
                                Math.max(0, asked.tenant()),
                                kind,
                                Math.max(LEAST_WORTH, classes.get(kind).priorityWeight())),
                        length,
                        keptOnly.contains(kind));
        if (letting == Letting.TOO_LONG || letting == Letting.NO_ROOM) {
            Rejection why = letting == Letting.TOO_LONG ? Rejection.TOO_LONG : Rejection.NO_CAPACITY;
            upload.onRejected(why, refused(null, why));
            return null;
        }
        taken++;
        classOf.put(id, kind);
        boolean kept = letting == Letting.IN;
        passed += kept ? 0 : 1;
        KeptBody body = KeptBody.open(shared, this, id, length, settings.longestRequest(), upload, kept);
        bodies.put(id, body);
        return body;
    }

    @Override
    public BodyWriter openResponseBody(long length, BodyWriter.Producer sender) {
        return length > settings.longestAnswer() ? null : Pipe.open(shared, length, settings.longestAnswer(), sender);
    }

    @Override
    public int socketBufferBytes() {
        return settings.socketBuffer();
    }

    @Override
    public double shutdownGraceMs() {
        return settings.finish().toMillis();
    }

    @Override
    public void whenIdle(Runnable task) {
        whenIdle = task;
        checkIdle();
    }

    private void checkIdle() {
        if (whenIdle != null && windows.size() == 0) {
            Runnable task = whenIdle;
            whenIdle = null;
            task.run();
        }
    }

    // ---- Of the bodies that are kept ----

    @Override
    public Ledger ledger() {
        return ledger;
    }

    @Override
    public Spool spool() {
        files++;
        return spool;
    }

    @Override
    public void carryOut(Move move) {
        KeptBody body = bodies.get(move.id());
        if (body != null && move.to() == Tier.FILE) {
            body.toFile();
        } else if (body != null) {
            body.dropped();
        }
    }

    @Override
    public boolean keptOnly(KeptBody body) {
        boolean only = keptOnly.contains(classOf.get(body.id()));
        passed += only ? 0 : 1;
        return only;
    }

    @Override
    public double refused(KeptBody body, Rejection why) {
        refused++;
        Log.line(
                "bodies",
                switch (why) {
                    case TOO_LONG -> "a body was refused: it is too long";
                    case NO_CAPACITY ->
                        "a body was refused: " + ledger.used(Tier.MEMORY) + " B are kept in memory and "
                                + ledger.used(Tier.FILE) + " B in files";
                    case TOO_SLOW -> "a body was refused: it came too slowly";
                });
        return why == Rejection.NO_CAPACITY ? comeBackMs : 0;
    }

    @Override
    public void fileFailed(String why) {
        Log.line("bodies", "a body is not kept in its file: " + why);
    }

    @Override
    public void over(KeptBody body) {
        bodies.remove(body.id());
        classOf.remove(body.id());
        if (body.isInLedger()) {
            ledger.release(body.id());
        }
    }

    @Override
    public void ended() {
        checkIdle();
    }

    @Override
    public void slow(String what) {
        slow++;
        Log.line("bodies", "a body was cut off: " + what + " stopped");
    }

    /** For operators; completed on the owner's thread. */
    public CompletableFuture<Map<String, Object>> report() {
        CompletableFuture<Map<String, Object>> report = new CompletableFuture<>();
        scheduler.execute(() -> report.complete(Map.of(
                "open",
                windows.size(),
                "window",
                windows.share(),
                "kept",
                ledger.size(),
                "memory",
                ledger.used(Tier.MEMORY),
                "files",
                ledger.used(Tier.FILE),
                "taken",
                taken,
                "passed",
                passed,
                "refused",
                refused,
                "slow",
                slow,
                "written",
                files)));
        return report;
    }
}
