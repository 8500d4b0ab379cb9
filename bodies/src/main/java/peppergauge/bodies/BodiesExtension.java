package peppergauge.bodies;

import java.io.IOException;
import peppergauge.SidecarExtension;
import peppergauge.bodies.spool.Disk;
import peppergauge.bodies.spool.Folder;
import peppergauge.bodies.spool.Spool;
import peppergauge.request.LargeBodies;

/** Adds long bodies to a sidecar. */
public final class BodiesExtension implements SidecarExtension {

    private final BodiesSettings settings;
    private final Disk given;
    private Spool spool;
    private volatile Keeper keeper;

    public BodiesExtension(BodiesSettings settings) {
        this(settings, null);
    }

    /** {@code disk}: in place of the folder's, null for that. */
    BodiesExtension(BodiesSettings settings, Disk disk) {
        this.settings = settings;
        given = disk;
    }

    /** @throws IllegalArgumentException if the folder cannot be used, or a class is not known */
    @Override
    public LargeBodies largeBodies(Context parts) {
        for (String name : settings.keptOnly()) {
            if (!parts.settingsNames().classes().contains(name)) {
                throw new IllegalArgumentException("bodies.kept-only: no class is called " + name + "; known: "
                        + String.join(", ", parts.settingsNames().classes()));
            }
        }
        spool = Spool.start(disk(), parts.loop()::execute);
        keeper = new Keeper(
                settings,
                parts.settings().classes(),
                parts.settingsNames().classes(),
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
    public void onStopped() {
        if (spool != null) {
            spool.close();
        }
    }
}
