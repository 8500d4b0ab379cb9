package peppergauge.plugin.box;

/**
 * What a module may use up.
 *
 * @param memoryPages of 64 KiB that one instance may have
 * @param moduleBytes that a module may be long
 * @param interpreted whether its code is interpreted rather than made bytecode of; slower, and without classes
 */
public record Limits(int memoryPages, int moduleBytes, boolean interpreted) {

    /** Entries that all tables of a module may have together. */
    public static final int TABLE_ENTRIES = 16_384;

    public static final int FUNCTIONS = 10_000;
}
