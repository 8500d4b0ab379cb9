package peppergauge.operator;

/** One top-level table of a kind of file: what a subsystem contributes. */
public interface Section {

    Table table();

    /**
     * What no single value shows: names that must exist elsewhere in the file, an end before its beginning.
     * Asked only once each value by itself is right.
     *
     * @param file the whole file, also if it has no table of this section
     */
    default void check(Values file, Problems problems) {}
}
