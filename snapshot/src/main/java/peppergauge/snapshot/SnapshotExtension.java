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
import peppergauge.snapshot.nonrepeatable.GuardedBackend;
import peppergauge.snapshot.nonrepeatable.GuardedIntake;
import peppergauge.snapshot.nonrepeatable.NonRepeatableJournal;
import peppergauge.snapshot.restore.StateRestoringLoadBalancer;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Keeps what a sidecar learned, and which non-repeatable requests are under way. Whatever is wrong with the folder, the
 * sidecar starts and serves as without it, and one line says why.
 */
public final class SnapshotExtension implements SidecarExtension {

    private final SnapshotSettings settings;
    private final FileSystem disk;
    private final Consumer<String> log;
    /** By server id; written on the owner thread. */
    private final Map<String, String> addresses = new ConcurrentHashMap<>();

    private SnapshotFiles shelf;
    private Keeper keeper;
    private NonRepeatableJournal journal;

    public SnapshotExtension(SnapshotSettings settings, FileSystem disk) {
        this(settings, disk, line -> Log.line("snapshot", line));
    }

    SnapshotExtension(SnapshotSettings settings, FileSystem disk, Consumer<String> log) {
        this.settings = settings;
        this.disk = disk;
        this.log = log;
    }

    @Override
    public LoadBalancer wrapLoadBalancer(LoadBalancer module, Context parts) {
        String name = parts.config().name();
        try {
            shelf = new SnapshotFiles(disk, settings.folder(), name);
        } catch (IOException unusable) {
            log.accept("nothing is kept, and this starts with nothing: " + SnapshotFiles.reason(unusable));
            return module;
        }
        String meaning = Meaning.of(parts.settings(), parts.settingsNames());
        Rehearsal.run(parts.settings());
        Optional<Start> start = Start.find(shelf, settings, name, meaning, System.currentTimeMillis(), log);
        keeper = new Keeper(
                settings,
                name,
                meaning,
                new Collector(module, parts.loop(), parts.clock()::nowMs, this::addressOf),
                shelf,
                log);
        return start.<LoadBalancer>map(found ->
                        new StateRestoringLoadBalancer(module, found.snapshot(), found.ageMs(), this::addressOf, log))
                .orElse(module);
    }

    private String addressOf(String server) {
        return addresses.getOrDefault(server, "");
    }

    @Override
    public Backend wrapBackend(Backend http, Context parts) {
        if (shelf == null) {
            return http;
        }
        Backend noting = new AddressBook(http, addresses);
        if (settings.journalMode() == JournalMode.OFF) {
            return noting;
        }
        journal = new NonRepeatableJournal(
                disk,
                shelf,
                settings.journalSize(),
                settings.journalMode() == JournalMode.FLUSHED,
                System::currentTimeMillis,
                log);
        return new GuardedBackend(
                noting,
                journal,
                parts.loop(),
                unsafeId(new RequestClassifier(
                        parts.settingsNames(), parts.settings().classes())));
    }

    /** The id of a message that must not run twice, by the class in its target; null for any other. */
    private static Function<Message, String> unsafeId(RequestClassifier site) {
        return message -> {
            int kind = site.classOf(message.target());
            if (kind < 0 || site.classes().get(kind).idempotency() != Idempotency.NON_IDEMPOTENT) {
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
    public RequestHandler wrapRequestHandler(RequestDispatcher sessions, Context parts) {
        return journal == null ? sessions : new GuardedIntake(sessions, journal);
    }

    @Override
    public void onStarting(RequestHandler intake, RequestDispatcher sessions, Context parts) {
        if (keeper != null) {
            keeper.start();
        }
    }

    @Override
    public void onStopping() {
        if (keeper != null) {
            keeper.stopping();
        }
    }

    @Override
    public void onStopped() {
        if (journal != null) {
            journal.close();
        }
        if (keeper != null) {
            keeper.stopped();
        }
    }
}
