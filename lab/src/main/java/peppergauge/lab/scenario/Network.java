package peppergauge.lab.scenario;

import java.time.Duration;
import java.util.List;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * Section {@code [network]}: zones and the latency between them.
 *
 * @param zones names of the zones, at least one
 * @param within one-way latency inside a zone
 * @param across one-way latency between two zones
 * @param jitter spread of the one-way latency, as a share of its mean, 0 to 1
 * @param loss share of sent requests and of responses whose connection breaks, 0 to 1
 * @param handshakeTrips round trips before a new connection takes a request
 */
public record Network(
        List<String> zones, Duration within, Duration across, double jitter, double loss, long handshakeTrips) {

    static final Table TABLE = Table.required(
            "network",
            "Where things stand and how far apart.",
            Key.preset(
                    "zones",
                    Types.listOf(Types.name(), 1, 32),
                    "[\"home\"]",
                    "Zones; backend servers and sidecars are dealt out to them in turn."),
            Key.preset("within", Scenario.duration(0, 1_000), "\"0.2 ms\"", "One way inside a zone."),
            Key.preset("across", Scenario.duration(0, 1_000), "\"14 ms\"", "One way between two zones."),
            Key.preset("jitter", Types.number(0, 1), "0.2", "Spread of a single way, as a share of its mean."),
            Key.preset(
                    "loss",
                    Types.number(0, 1),
                    "0",
                    "Share of requests, and of answers, in whose place the connection breaks."),
            Key.preset(
                    "handshake-trips",
                    Types.wholeNumber(1, 3),
                    "1",
                    "Round trips before a new connection takes a request."));

    /** Makes an immutable copy of the zones. */
    public Network {
        zones = List.copyOf(zones);
    }
}
