package peppergauge.daemon.subsystem;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** A feature that the operator file can add to the sidecar. */
public interface Subsystem {

    /** Returns its sections of the file, all of them optional. */
    List<Section> sections();

    /**
     * Opens the subsystem at the start.
     *
     * @throws IllegalArgumentException if the file is unusable; the message says why
     */
    Running open(Values file);

    /** A subsystem that was opened. */
    interface Running {

        /** Returns what it adds to the sidecar. */
        SidecarExtension extension();

        /**
         * Prepares for a changed file without applying anything yet; may take long.
         *
         * @throws IllegalArgumentException if the file is unusable; then nothing is applied anywhere
         */
        Change prepare(Values file);
    }

    /** A subsystem that is configured once: a reload leaves it as it is. */
    record Fixed(SidecarExtension extension) implements Running {

        @Override
        public Change prepare(Values file) {
            return Change.NONE;
        }
    }

    /** A prepared change. Exactly one of the two methods is called. */
    interface Change {

        /** Applies the change; must not fail. */
        void apply();

        /** Discards the change. */
        void discard();

        /** No change. */
        Change NONE = new Change() {
            @Override
            public void apply() {}

            @Override
            public void discard() {}
        };
    }
}
