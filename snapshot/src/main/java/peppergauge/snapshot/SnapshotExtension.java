package peppergauge.snapshot;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import peppergauge.SidecarExtension;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.frontend.RequestClassifier;
import peppergauge.http.Headers;
import peppergauge.log.Log;
import peppergauge.request.Backend;
import peppergauge.request.Message;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.snapshot.SnapshotSettings.JournalMode;
import peppergauge.snapshot.nonrepeatable.JournalingBackend;
import peppergauge.snapshot.nonrepeatable.NonRepeatableJournal;
import peppergauge.snapshot.nonrepeatable.ReplayRejectingHandler;
import peppergauge.snapshot.restore.RestoreResult;
import peppergauge.snapshot.restore.StateRestoringLoadBalancer;
import peppergauge.snapshot.storage.EventLog;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Persists the load balancer's learned state and the ids of non-repeatable requests in flight, and restores them at the
 * next start. If the folder is unusable, the sidecar starts and serves without persistence and logs one event with the
 * reason; if it has to record non-repeatable requests, it rejects these until the folder can be used.
 */
public final class SnapshotExtension implements SidecarExtension {

    private final SnapshotSettings settings;
    private final FileSystem fileSystem;
    private final EventLog log;
    /** Addresses of the listed servers by server id; written on the owner thread only. */
    private final Map<String, String> addresses = new ConcurrentHashMap<>();

    private SnapshotFiles files;
    private SnapshotWriter writer;
    private NonRepeatableJournal journal;

    public SnapshotExtension(SnapshotSettings settings, FileSystem fileSystem) {
        this(settings, fileSystem, Log::event);
    }

    SnapshotExtension(SnapshotSettings settings, FileSystem fileSystem, EventLog log) {
        this.settings = settings;
        this.fileSystem = fileSystem;
        this.log = log;
    }

    @Override
    public LoadBalancer wrapLoadBalancer(LoadBalancer loadBalancer, Context context) {
        String name = context.config().name();
        try {
            files = new SnapshotFiles(fileSystem, settings.folder(), name);
        } catch (IOException unusable) {
            log.event(
                    "snapshot_folder_unusable",
                    "folder",
                    settings.folder(),
                    "reason",
                    SnapshotFiles.describe(unusable));
            return loadBalancer;
        }
        String settingsDigest = SettingsDigest.of(context.settings(), context.settingsNames());
        StateExportWarmUp.run(context.settings());
        Optional<SnapshotToRestore> toRestore =
                SnapshotToRestore.find(files, settings, name, settingsDigest, System.currentTimeMillis(), log);
        writer = new SnapshotWriter(
                settings,
                name,
                settingsDigest,
                new StateCollector(loadBalancer, context.loop(), context.clock()::nowMs, this::addressOf),
                files,
                log);
        return toRestore
                .<LoadBalancer>map(found -> new StateRestoringLoadBalancer(
                        loadBalancer, found.snapshot(), found.ageMs(), this::addressOf, this::logRestored))
                .orElse(loadBalancer);
    }

    private void logRestored(RestoreResult result) {
        log.event(
                "snapshot_restored",
                "classes",
                result.classes(),
                "servers",
                result.servers(),
                "restored",
                result.restored(),
                "restarted",
                result.restarted(),
                "moved",
                result.moved(),
                "not_listed",
                result.notListed());
    }

    private String addressOf(String server) {
        return addresses.getOrDefault(server, "");
    }

    @Override
    public Backend wrapBackend(Backend http, Context context) {
        Backend recordingBackend = files == null ? http : new AddressRecordingBackend(http, addresses);
        if (settings.journalMode() == JournalMode.OFF) {
            return recordingBackend;
        }
        journal = new NonRepeatableJournal(
                fileSystem,
                files == null
                        ? SnapshotFiles.unopened(
                                fileSystem, settings.folder(), context.config().name())
                        : files,
                settings.maxJournalBytes(),
                settings.journalMode() == JournalMode.FLUSHED,
                System::currentTimeMillis,
                log);
        return new JournalingBackend(
                recordingBackend,
                journal,
                context.loop(),
                nonRepeatableId(new RequestClassifier(
                        context.settingsNames(), context.settings().classes())));
    }

    /** Returns a function that gives the request id if the class of a message is non-idempotent, otherwise null. */
    private static Function<Message, String> nonRepeatableId(RequestClassifier classifier) {
        return message -> {
            int requestClass = classifier.classOf(message.target());
            if (requestClass < 0
                    || classifier.classes().get(requestClass).idempotency() != Idempotency.NON_IDEMPOTENT) {
                return null;
            }
            return message.fields().stream()
                    .filter(field -> field.name().equalsIgnoreCase(Headers.REQUEST_ID))
                    .map(field -> field.value().trim())
                    .findFirst()
                    .orElse(null);
        };
    }

    @Override
    public RequestHandler wrapRequestHandler(RequestDispatcher dispatcher, Context context) {
        return journal == null
                ? dispatcher
                : new ReplayRejectingHandler(
                        dispatcher, journal, context.settings().classes());
    }

    @Override
    public void onStarting(RequestHandler requestHandler, RequestDispatcher dispatcher, Context context) {
        if (writer != null) {
            writer.start();
        }
    }

    @Override
    public void onStopping() {
        if (writer != null) {
            writer.writeFinalSnapshot();
        }
    }

    @Override
    public void onStopped() {
        if (journal != null) {
            journal.close();
        }
        if (writer != null) {
            writer.awaitEnd();
        }
    }
}
