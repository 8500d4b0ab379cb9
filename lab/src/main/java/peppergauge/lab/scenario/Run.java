package peppergauge.lab.scenario;

import java.time.Duration;

/**
 * Section {@code [run]}.
 *
 * @param length how long clients send requests
 * @param seed seed of all random numbers
 */
public record Run(Duration length, long seed) {}
