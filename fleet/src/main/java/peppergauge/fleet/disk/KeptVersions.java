package peppergauge.fleet.disk;

/** @param through the highest version that may have been handed out */
public record KeptVersions(long through) {}
