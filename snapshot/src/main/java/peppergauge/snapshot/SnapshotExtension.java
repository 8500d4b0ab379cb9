package peppergauge.snapshot;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
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
import peppergauge.snapshot.restore.StateRestoringLoadBalancer;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Keeps what a sidecar learned, and which non-repeatable requests are under way, over a restart. If the folder is
 * unusable the sidecar starts and serves without, and one log line says why.
 */
public final class SnapshotExtension implements SidecarExtension {

    private final SnapshotSettings settings;
    private final FileSystem fileSystem;
    private final Consumer<String> log;
    /** By server id; written on the owner thread. */
    private final Map<String, String> addresses = new ConcurrentHashMap<>();

    private SnapshotFiles files;
    private SnapshotWriter writer;
    private NonRepeatableJournal journal;

    public SnapshotExtension(SnapshotSettings settings, FileSystem fileSystem) {
        this(settings, fileSystem, line -> Log.line("snapshot", line));
    }

    SnapshotExtension(SnapshotSettings settings, FileSystem fileSystem, Consumer<String> log) {
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
            log.accept("nothing is kept, and this starts with nothing: " + SnapshotFiles.describe(unusable));
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
                        loadBalancer, found.snapshot(), found.ageMs(), this::addressOf, log))
                .orElse(loadBalancer);
    }

    private String addressOf(String server) {
        return addresses.getOrDefault(server, "");
    }

    @Override
    public Backend wrapBackend(Backend http, Context context) {
        if (files == null) {
            return http;
        }
        Backend recordingBackend = new AddressRecordingBackend(http, addresses);
        if (settings.journalMode() == JournalMode.OFF) {
            return recordingBackend;
        }
        journal = new NonRepeatableJournal(
                fileSystem,
                files,
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

    /** The id of a message that must not run twice, by the class in its target; null for any other. */
    private static Function<Message, String> nonRepeatableId(RequestClassifier classifier) {
        return message -> {
            int kind = classifier.classOf(message.target());
            if (kind < 0 || classifier.classes().get(kind).idempotency() != Idempotency.NON_IDEMPOTENT) {
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
        return journal == null ? dispatcher : new ReplayRejectingHandler(dispatcher, journal);
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
