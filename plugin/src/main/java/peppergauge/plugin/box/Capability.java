package peppergauge.plugin.box;

/** What a plug-in may be granted; what is not granted does not link. */
public enum Capability {
    LOG,
    CONFIG,
    CLOCK,
    RANDOM,
    COUNTERS,
    STORE
}
