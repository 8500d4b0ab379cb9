package peppergauge.bodies;

import java.io.IOException;
import peppergauge.Additions;
import peppergauge.bodies.spool.Disk;
import peppergauge.bodies.spool.Folder;
import peppergauge.bodies.spool.Spool;
import peppergauge.session.Bodies;

/** Adds long bodies to a sidecar. */
public final class BodiesAddition implements Additions {

    private final BodiesSettings settings;
    private final Disk given;
    private Spool spool;
    private volatile Keeper keeper;

    public BodiesAddition(BodiesSettings settings) {
        this(settings, null);
    }

    /** {@code disk}: in place of the folder's, null for that. */
    BodiesAddition(BodiesSettings settings, Disk disk) {
        this.settings = settings;
        given = disk;
    }

    /** @throws IllegalArgumentException if the folder cannot be used, or a class is not known */
    @Override
    public Bodies bodies(Parts parts) {
        for (String name : settings.keptOnly()) {
            if (!parts.names().classes().contains(name)) {
                throw new IllegalArgumentException("bodies.kept-only: no class is called " + name + "; known: "
                        + String.join(", ", parts.names().classes()));
            }
        }
        spool = Spool.start(disk(), parts.loop()::execute);
        keeper = new Keeper(
                settings,
                parts.settings().classes(),
                parts.names().classes(),
                parts.settings().limits(),
                parts.clock(),
                parts.loop(),
                spool);
        return keeper;
    }

    private Disk disk() {
        if (given != null) {
            return given;
        }
        if (settings.folder().isEmpty()) {
            return () -> {
                throw new IOException("no folder is set");
            };
        }
        try {
            return Folder.open(settings.folder().get());
        } catch (IOException unusable) {
            throw new IllegalArgumentException("bodies.folder: " + unusable.getMessage(), unusable);
        }
    }

    /** Null before the sidecar has been put together. */
    public Keeper keeper() {
        return keeper;
    }

    @Override
    public void stopped() {
        if (spool != null) {
            spool.close();
        }
    }
}
