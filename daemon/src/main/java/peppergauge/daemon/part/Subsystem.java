package peppergauge.daemon.part;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** Something that the file can add to the sidecar. */
public interface Subsystem {

    /** Its part of the file: tables that may be left out, and then add nothing. */
    List<Section> sections();

    /**
     * At the start.
     *
     * @throws IllegalArgumentException saying what of the file is unusable
     */
    Part open(Values file);

    /** A subsystem in service. */
    interface Part {

        SidecarExtension additions();

        /**
         * Makes all ready for what the file says now, without changing anything yet; takes its time.
         *
         * @throws IllegalArgumentException saying what is unusable: then nothing changes anywhere
         */
        Change prepare(Values file);
    }

    /** A subsystem that goes by the file of the start: what changes of it needs a restart, and a reload leaves it. */
    record Fixed(SidecarExtension additions) implements Part {

        @Override
        public Change prepare(Values file) {
            return Change.NONE;
        }
    }

    /** What is ready. Exactly one of these is called. */
    interface Change {

        /** Must not fail. */
        void apply();

        void drop();

        /** Of a subsystem that goes by the file of the start. */
        Change NONE = new Change() {
            @Override
            public void apply() {}

            @Override
            public void drop() {}
        };
    }
}
