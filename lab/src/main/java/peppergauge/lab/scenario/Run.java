package peppergauge.lab.scenario;

import java.time.Duration;

/**
 * {@code [run]}.
 *
 * @param length how long clients go on asking
 * @param seed what all random numbers are drawn from
 */
public record Run(Duration length, long seed) {}
