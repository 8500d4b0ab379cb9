package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * Section {@code [rules]}: the limits that sidecars are configured with and that the rules check.
 *
 * @param answerSlack by how much a final response may be later than its deadline
 * @param drainGrace how long a sidecar may send to a server after it was told that the server is draining
 * @param coldShare least share of its capacity that sidecars are told a started server has
 * @param coldTime time after which sidecars are told that a started server is warm
 * @param fallMultiple multiple of its current capacity above which a cold server fails
 * @param fallTime length of the window in which the load of a cold server is counted
 * @param overShareWorth share of the worth that requests of a tenant beyond its quota have
 */
public record RuleSettings(
        Duration answerSlack,
        Duration drainGrace,
        double coldShare,
        Duration coldTime,
        double fallMultiple,
        Duration fallTime,
        double overShareWorth) {

    static final Table TABLE = Table.optional(
            "rules",
            "The figures of the rules that the checkers hold sidecars to.",
            Key.preset(
                    "answer-slack",
                    Scenario.duration(0, 10_000),
                    "\"20 ms\"",
                    "By how much a final answer may be later than the deadline of its try."),
            Key.preset(
                    "drain-grace",
                    Scenario.duration(0, 60_000),
                    "\"1 s\"",
                    "For so long after it was told that a server leaves, a sidecar may send to it."),
            Key.preset(
                    "cold-share",
                    Types.number(0.01, 1),
                    "0.32",
                    "What sidecars are told of the capacity of a server that has just started: at least this share."),
            Key.preset(
                    "cold-time",
                    Scenario.duration(0, 600_000),
                    "\"8.7 s\"",
                    "What sidecars are told: after this a server is warm."),
            Key.preset(
                    "fall-multiple",
                    Types.number(0.1, 100),
                    "2.5",
                    "A cold server falls over when it is sent more than so many times its present capacity."),
            Key.preset(
                    "fall-time",
                    Scenario.duration(1, 60_000),
                    "\"3 s\"",
                    "The span over which what it is sent is counted."),
            Key.preset(
                    "over-share-worth",
                    Types.number(0, 1),
                    "0.05",
                    "Share of the worth of what a tenant asks beyond its quota."));
}
