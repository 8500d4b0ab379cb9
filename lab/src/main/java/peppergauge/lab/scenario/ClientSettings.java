package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * Section {@code [clients]}: the clients, which send requests in an open loop.
 *
 * @param rate new requests per second over all sidecars
 * @param burstEvery mean time between bursts of one sidecar's clients; zero for no bursts
 * @param burstLength duration of a burst
 * @param burstTimes factor by which the rate is higher during a burst
 * @param keys number of distinct keys of requests, 0 for requests without keys
 * @param zipf exponent of the Zipf distribution of keys
 * @param retries maximum number of retries
 * @param tryShare share of the deadline that one try may take
 * @param firstWait mean backoff before the first retry; doubles with each retry
 * @param honour share of the clients that follow Retry-After
 * @param impatient share of the tries that the client abandons early
 * @param marksRetry whether a retry is marked as one
 */
public record ClientSettings(
        double rate,
        Duration burstEvery,
        Duration burstLength,
        double burstTimes,
        long keys,
        double zipf,
        long retries,
        double tryShare,
        Duration firstWait,
        double honour,
        double impatient,
        boolean marksRetry) {

    static final Table TABLE = Table.required(
            "clients",
            "Who asks: arrivals do not wait for answers.",
            Key.required("rate", Types.number(0, 1_000_000), "260", "New requests a second over all sidecars."),
            Key.preset(
                    "burst-every",
                    Scenario.duration(0, 600_000),
                    "\"0 s\"",
                    "Mean time between bursts of one sidecar's clients; 0 for none."),
            Key.preset("burst-length", Scenario.duration(1, 60_000), "\"200 ms\"", "How long a burst lasts."),
            Key.preset("burst-times", Types.number(1, 100), "3", "How many times the rate is higher then."),
            Key.preset("keys", Types.wholeNumber(0, 1_000_000), "500", "Distinct keys of requests; 0: no keys."),
            Key.preset("zipf", Types.number(0.01, 5), "0.75", "Exponent of the keys' popularity."),
            Key.preset("retries", Types.wholeNumber(0, 10), "2", "Tries after the first."),
            Key.preset("try-share", Types.number(0.01, 1), "0.6", "Share of the deadline that one try may take."),
            Key.preset(
                    "first-wait",
                    Scenario.duration(0, 60_000),
                    "\"80 ms\"",
                    "Before the first retry; doubles each time."),
            Key.preset("honour", Types.number(0, 1), "0.85", "Share of the clients that follow Retry-After."),
            Key.preset("impatient", Types.number(0, 1), "0.02", "Share of the tries that are given up early."),
            Key.preset("marks-retry", Types.flag(), "false", "Whether a retry says that it is one."));
}
