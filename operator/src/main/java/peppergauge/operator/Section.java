package peppergauge.operator;

/** A top-level table of a kind of file, with its checks across keys. Subsystems contribute sections. */
public interface Section {

    /** Returns the schema of the section. */
    Table table();

    /**
     * Checks rules that concern several values, such as references to other tables of the file or a range whose end
     * precedes its start. Called only for a file in which each single value is valid.
     *
     * @param file the values of the whole file, which may lack a table of this section
     * @param problems receives the errors found
     */
    default void check(Values file, Problems problems) {}
}
