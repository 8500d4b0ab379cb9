package peppergauge.daemon.part;

import peppergauge.Additions;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** Something that the file can add to the sidecar. */
public interface Subsystem {

    /** Its part of the file. */
    Section section();

    /**
     * At the start.
     *
     * @throws IllegalArgumentException saying what of the file is unusable
     */
    Part open(Values file);

    /** A subsystem in service. */
    interface Part {

        Additions additions();

        /**
         * Makes all ready for what the file says now, without changing anything yet; takes its time.
         *
         * @throws IllegalArgumentException saying what is unusable: then nothing changes anywhere
         */
        Change prepare(Values file);
    }

    /** What is ready. Exactly one of these is called. */
    interface Change {

        /** Must not fail. */
        void apply();

        void drop();

        /** Of a subsystem that goes by the file of the start. */
        Change NONE = new Change() {
            @Override
            public void apply() { }

            @Override
            public void drop() { }
        };
    }
}
