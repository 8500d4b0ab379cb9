package peppergauge.snapshot;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import peppergauge.Additions;
import peppergauge.decision.Balancer;
import peppergauge.decision.Balancer.Effect;
import peppergauge.frontend.Site;
import peppergauge.http.Headers;
import peppergauge.log.Log;
import peppergauge.session.Backend;
import peppergauge.session.Intake;
import peppergauge.session.Message;
import peppergauge.session.Sessions;
import peppergauge.snapshot.SnapshotSettings.JournalMode;
import peppergauge.snapshot.disk.Disk;
import peppergauge.snapshot.disk.Shelf;
import peppergauge.snapshot.nonrepeatable.GuardedBackend;
import peppergauge.snapshot.nonrepeatable.GuardedIntake;
import peppergauge.snapshot.nonrepeatable.NonRepeatableJournal;
import peppergauge.snapshot.recall.RecallingBalancer;

/**
 * Keeps what a sidecar learned, and which non-repeatable requests are under way. Whatever is wrong with the folder, the
 * sidecar starts and serves as without it, and one line says why.
 */
public final class SnapshotAddition implements Additions {

    private final SnapshotSettings settings;
    private final Disk disk;
    private final Consumer<String> log;
    /** By server id; written on the owner thread. */
    private final Map<String, String> addresses = new ConcurrentHashMap<>();

    private Shelf shelf;
    private Keeper keeper;
    private NonRepeatableJournal journal;

    public SnapshotAddition(SnapshotSettings settings, Disk disk) {
        this(settings, disk, line -> Log.line("snapshot", line));
    }

    SnapshotAddition(SnapshotSettings settings, Disk disk, Consumer<String> log) {
        this.settings = settings;
        this.disk = disk;
        this.log = log;
    }

    @Override
    public Balancer balancer(Balancer module, Parts parts) {
        String name = parts.config().name();
        try {
            shelf = new Shelf(disk, settings.folder(), name);
        } catch (IOException unusable) {
            log.accept("nothing is kept, and this starts with nothing: " + Shelf.reason(unusable));
            return module;
        }
        String meaning = Meaning.of(parts.settings(), parts.names());
        Rehearsal.run(parts.settings());
        Optional<Start> start = Start.find(shelf, settings, name, meaning, System.currentTimeMillis(), log);
        keeper = new Keeper(
                settings,
                name,
                meaning,
                new Collector(module, parts.loop(), parts.clock()::nowMs, this::addressOf),
                shelf,
                log);
        return start.<Balancer>map(
                        found -> new RecallingBalancer(module, found.snapshot(), found.ageMs(), this::addressOf, log))
                .orElse(module);
    }

    private String addressOf(String server) {
        return addresses.getOrDefault(server, "");
    }

    @Override
    public Backend backend(Backend http, Parts parts) {
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
                unsafeId(new Site(parts.names(), parts.settings().classes())));
    }

    /** The id of a message that must not run twice, by the class in its target; null for any other. */
    private static Function<Message, String> unsafeId(Site site) {
        return message -> {
            int kind = site.classOf(message.target());
            if (kind < 0 || site.classes().get(kind).effect() != Effect.UNSAFE) {
                return null;
            }
            return message.fields().stream()
                    .filter(field -> field.name().equalsIgnoreCase(Headers.ID))
                    .map(field -> field.value().trim())
                    .findFirst()
                    .orElse(null);
        };
    }

    @Override
    public Intake intake(Sessions sessions, Parts parts) {
        return journal == null ? sessions : new GuardedIntake(sessions, journal);
    }

    @Override
    public void starting(Intake intake, Sessions sessions, Parts parts) {
        if (keeper != null) {
            keeper.start();
        }
    }

    @Override
    public void stopping() {
        if (keeper != null) {
            keeper.stopping();
        }
    }

    @Override
    public void stopped() {
        if (journal != null) {
            journal.close();
        }
        if (keeper != null) {
            keeper.stopped();
        }
    }
}
