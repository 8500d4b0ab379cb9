package peppergauge.bodies;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import peppergauge.bodies.flow.FlowContext;
import peppergauge.bodies.flow.RequestBody;
import peppergauge.bodies.flow.ResponseBody;
import peppergauge.bodies.ledger.Admission;
import peppergauge.bodies.ledger.BodyOwner;
import peppergauge.bodies.ledger.Ledger;
import peppergauge.bodies.ledger.Tier;
import peppergauge.bodies.ledger.TierChange;
import peppergauge.bodies.limits.WindowAllocator;
import peppergauge.bodies.spool.Spool;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.log.Log;
import peppergauge.request.BodyWriter;
import peppergauge.request.Clock;
import peppergauge.request.IncomingRequest;
import peppergauge.request.LargeBodies;
import peppergauge.request.Scheduler;

/**
 * Accepts the large bodies of a sidecar and applies the ledger's decisions to them. Event-loop thread only, except for
 * {@link #report}.
 */
public final class SpoolingLargeBodies implements LargeBodies, RequestBody.Registry, FlowContext.FlowListener {

    /** Keeps bodies of a class without weight comparable by their length. */
    private static final double MIN_PRIORITY_WEIGHT = 1e-3;
    /** The delay advised after a rejection for lack of capacity, unless the settings limit it: bodies take seconds. */
    private static final double RETRY_AFTER_MS = 1_000;

    private final BodiesSettings settings;
    private final List<RequestClass> classes;
    private final Set<Integer> bufferedOnlyClasses;
    private final double retryAfterMs;
    private final Scheduler scheduler;
    private final Ledger ledger;
    private final WindowAllocator windows;
    private final Spool spool;
    private final FlowContext flowContext;
    private final Map<Long, RequestBody> requestBodies = new HashMap<>();
    private final Map<Long, Integer> requestClassById = new HashMap<>();
    private Runnable idleCallback;
    private long lastId;
    private long accepted;
    private long streamed;
    private long rejected;
    private long cutOff;
    private long filesUsed;

    /**
     * @param classNames in the order of {@code classes}
     * @param spool for files; unused if the settings allow none
     */
    public SpoolingLargeBodies(
            BodiesSettings settings,
            List<RequestClass> classes,
            List<String> classNames,
            Limits limits,
            Clock clock,
            Scheduler scheduler,
            Spool spool) {
        this.settings = settings;
        this.classes = classes;
        this.scheduler = scheduler;
        this.spool = spool;
        bufferedOnlyClasses = IntStream.range(0, classNames.size())
                .filter(i -> settings.bufferedOnlyClasses().contains(classNames.get(i)))
                .boxed()
                .collect(Collectors.toSet());
        retryAfterMs = limits.retryAfter() ? Math.min(limits.maxRetryAfterMs(), RETRY_AFTER_MS) : 0;
        ledger = new Ledger(settings.storage());
        windows = new WindowAllocator(settings.maxWindowBytes(), settings.totalWindowBytes());
        flowContext = new FlowContext(
                clock,
                scheduler,
                windows,
                settings.totalWindowBytes(),
                settings.minBytesPerS(),
                settings.stallWindow().toMillis(),
                this);
    }

    // ---- Large bodies ----

    @Override
    public boolean acceptsLargeBodies() {
        return true;
    }

    @Override
    public BodyWriter openRequestBody(IncomingRequest request, long length, Upload upload) {
        int requestClass = request.requestClass();
        long id = ++lastId;
        Admission admission = length > settings.maxRequestBytes()
                ? Admission.TOO_LONG
                : ledger.admit(
                        id,
                        new BodyOwner(
                                Math.max(0, request.tenant()),
                                requestClass,
                                Math.max(
                                        MIN_PRIORITY_WEIGHT,
                                        classes.get(requestClass).priorityWeight())),
                        length,
                        bufferedOnlyClasses.contains(requestClass));
        if (admission == Admission.TOO_LONG || admission == Admission.NO_CAPACITY) {
            Rejection reason = admission == Admission.TOO_LONG ? Rejection.TOO_LONG : Rejection.NO_CAPACITY;
            upload.onRejected(reason, recordRejection(reason));
            return null;
        }
        accepted++;
        requestClassById.put(id, requestClass);
        boolean buffered = admission == Admission.BUFFERED;
        streamed += buffered ? 0 : 1;
        RequestBody body =
                RequestBody.open(flowContext, this, id, length, settings.maxRequestBytes(), upload, buffered);
        requestBodies.put(id, body);
        return body;
    }

    @Override
    public BodyWriter openResponseBody(long length, BodyWriter.Producer producer) {
        return length > settings.maxResponseBytes()
                ? null
                : ResponseBody.open(flowContext, length, settings.maxResponseBytes(), producer);
    }

    @Override
    public int socketBufferBytes() {
        return settings.socketBufferBytes();
    }

    @Override
    public double shutdownGraceMs() {
        return settings.shutdownGrace().toMillis();
    }

    @Override
    public void whenIdle(Runnable callback) {
        idleCallback = callback;
        notifyIfIdle();
    }

    private void notifyIfIdle() {
        if (idleCallback != null && windows.openFlows() == 0) {
            Runnable callback = idleCallback;
            idleCallback = null;
            callback.run();
        }
    }

    // ---- Registry of request bodies ----

    @Override
    public Ledger ledger() {
        return ledger;
    }

    @Override
    public Spool.BodyFile newFile() {
        filesUsed++;
        return spool.newFile();
    }

    @Override
    public void apply(TierChange change) {
        RequestBody body = requestBodies.get(change.id());
        if (body != null && change.target() == Tier.FILE) {
            body.moveToFile();
        } else if (body != null) {
            body.discardStored();
        }
    }

    @Override
    public boolean rejectsUnbuffered(RequestBody body) {
        boolean rejects = bufferedOnlyClasses.contains(requestClassById.get(body.id()));
        streamed += rejects ? 0 : 1;
        return rejects;
    }

    @Override
    public double recordRejection(Rejection reason) {
        rejected++;
        Log.event(
                "large_body_rejected",
                "reason",
                lowerCase(reason),
                "memory_bytes",
                ledger.usedBytes(Tier.MEMORY),
                "file_bytes",
                ledger.usedBytes(Tier.FILE));
        return reason == Rejection.NO_CAPACITY ? retryAfterMs : 0;
    }

    @Override
    public void onFileFailed(String reason) {
        Log.event("large_body_file_failed", "reason", reason);
    }

    @Override
    public void onEnded(RequestBody body) {
        requestBodies.remove(body.id());
        requestClassById.remove(body.id());
        if (body.isInLedger()) {
            ledger.release(body.id());
        }
    }

    // ---- Flows ----

    @Override
    public void onFlowEnded() {
        notifyIfIdle();
    }

    @Override
    public void onCutOff(FlowContext.CutOffReason reason) {
        cutOff++;
        Log.event("large_body_cut_off", "reason", lowerCase(reason));
    }

    private static String lowerCase(Enum<?> reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }

    /** The status report. Completed on the event-loop thread; may be called from any thread. */
    public CompletableFuture<Map<String, Object>> report() {
        CompletableFuture<Map<String, Object>> report = new CompletableFuture<>();
        scheduler.execute(() -> report.complete(Map.of(
                "open",
                windows.openFlows(),
                "window",
                windows.windowBytes(),
                "kept",
                ledger.size(),
                "memory",
                ledger.usedBytes(Tier.MEMORY),
                "files",
                ledger.usedBytes(Tier.FILE),
                "taken",
                accepted,
                "passed",
                streamed,
                "refused",
                rejected,
                "slow",
                cutOff,
                "written",
                filesUsed)));
        return report;
    }
}
