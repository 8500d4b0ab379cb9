package peppergauge.daemon.subsystem;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** A feature that the operator file can add to the sidecar. */
public interface Subsystem {

    /** Returns the sections of the operator file that configure the subsystem, all of them optional. */
    List<Section> sections();

    /**
     * Opens the subsystem at the start of the daemon.
     *
     * @throws IllegalArgumentException if the file is unusable; the message gives the reason
     */
    Running open(Values file);

    /** An opened subsystem. */
    interface Running {

        /** Returns the extension that the subsystem adds to the sidecar. */
        SidecarExtension extension();

        /**
         * Prepares the change to a new version of the file without applying it. May take long.
         *
         * @throws IllegalArgumentException if the file is unusable; then no subsystem applies a change
         */
        Change prepare(Values file);
    }

    /** A subsystem that a reload does not change. */
    record Fixed(SidecarExtension extension) implements Running {

        @Override
        public Change prepare(Values file) {
            return Change.NONE;
        }
    }

    /** A prepared change. Exactly one of its two methods is called. */
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
