package peppergauge.bodies;

import java.io.IOException;
import peppergauge.SidecarExtension;
import peppergauge.bodies.spool.Disk;
import peppergauge.bodies.spool.Spool;
import peppergauge.bodies.spool.SpoolDirectory;
import peppergauge.request.LargeBodies;

/** Adds support for large bodies to a sidecar. */
public final class BodiesExtension implements SidecarExtension {

    private final BodiesSettings settings;
    /** Used in place of the configured directory; null for that. */
    private final Disk diskOverride;

    private Spool spool;
    private volatile SpoolingLargeBodies largeBodies;

    public BodiesExtension(BodiesSettings settings) {
        this(settings, null);
    }

    /** @param diskOverride used in place of the configured directory; null for that */
    BodiesExtension(BodiesSettings settings, Disk diskOverride) {
        this.settings = settings;
        this.diskOverride = diskOverride;
    }

    /** @throws IllegalArgumentException if the directory is unusable, or a request class is unknown */
    @Override
    public LargeBodies largeBodies(Context context) {
        for (String name : settings.bufferedOnlyClasses()) {
            if (!context.settingsNames().classes().contains(name)) {
                throw new IllegalArgumentException("bodies.kept-only: no request class is named " + name + "; known: "
                        + String.join(", ", context.settingsNames().classes()));
            }
        }
        spool = Spool.start(disk(), context.loop()::execute);
        largeBodies = new SpoolingLargeBodies(
                settings,
                context.settings().classes(),
                context.settingsNames().classes(),
                context.settings().limits(),
                context.clock(),
                context.loop(),
                spool);
        return largeBodies;
    }

    private Disk disk() {
        if (diskOverride != null) {
            return diskOverride;
        }
        if (settings.directory().isEmpty()) {
            return () -> {
                throw new IOException("bodies.folder is not set");
            };
        }
        try {
            return SpoolDirectory.open(settings.directory().get());
        } catch (IOException unusable) {
            throw new IllegalArgumentException("bodies.folder: " + unusable.getMessage(), unusable);
        }
    }

    /** The large bodies of the sidecar; null before it was assembled. */
    public SpoolingLargeBodies largeBodies() {
        return largeBodies;
    }

    @Override
    public void onStopped() {
        if (spool != null) {
            spool.close();
        }
    }
}
