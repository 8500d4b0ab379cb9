package peppergauge.lab.scenario;

import java.util.Locale;
import java.util.Optional;

/** The incidents of a scenario. Notes in brackets say what {@code size} and {@code part} of an entry mean. */
public enum Incident {

    /** The process is killed, loses its work and resets its connections; it restarts cold after {@code length}. */
    KILL(Target.Kind.SERVERS, null, null),
    /** The machine vanishes: nothing responds, open connections stay open; it is back after {@code length}. */
    VANISH(Target.Kind.SERVERS, null, null),
    /** Gray failure: cores are slower (size: factor). */
    SLOW(Target.Kind.SERVERS, Range.of("how many times slower", 1, 1_000), null),
    /** The server executes nothing; arriving requests wait. */
    PAUSE(Target.Kind.SERVERS, null, null),
    /** Requests fail at once without being executed (part: share of requests). */
    FAST_ERRORS(Target.Kind.SERVERS, null, Range.of("share that fails", 0, 1)),
    /** Requests are executed, but the connection breaks instead of a response (part: share of responses). */
    LOSE_ANSWERS(Target.Kind.SERVERS, null, Range.of("share of answers", 0, 1)),
    /**
     * Servers drain one batch after the other and their successors start cold (size: seconds of draining; part: share
     * of the target in a batch).
     */
    DEPLOY(Target.Kind.SERVERS, Range.of("seconds that a server drains", 0, 600), Range.of("share in a batch", 0, 1)),
    /** Servers drain and are removed after {@code length}. */
    DRAIN(Target.Kind.SERVERS, null, null),
    /** Network partition between the zone and the other zones; open connections are silent. */
    CUT(Target.Kind.ZONE, null, null),
    /** Latency from and to the zone is higher (size: ms added to the one-way latency). */
    DELAY(Target.Kind.ZONE, Range.of("ms added one way", 0, 10_000), null),
    /** Request surge (size: factor of the request rate). */
    BURST(Target.Kind.CLIENTS, Range.of("times the rate", 0, 1_000), null),
    /** Clients retry without backoff and ignore Retry-After (size: number of retries). */
    RETRY_STORM(Target.Kind.ALL, Range.of("retries", 0, 10), null),
    /** Some requests cost far more (size: factor of the work; part: share of the requests). */
    HEAVY_TAIL(Target.Kind.CLASSES, Range.of("times the work", 1, 10_000), Range.of("share of the requests", 0, 1)),
    /** Some requests kill the server that executes them; it is back after 3 s (size: maximum number of requests). */
    POISON(Target.Kind.CLASSES, Range.of("poisoned requests", 1, 100), null),
    /** Discovery responds to no call. */
    DISCOVERY_DOWN(Target.Kind.ALL, null, null),
    /** Discovery returns an empty endpoint list. */
    DISCOVERY_EMPTY(Target.Kind.ALL, null, null),
    /** Nomad's API has the fault that {@code fault} names; requires {@code [discovery] source = "nomad"}. */
    DISCOVERY_FAULT(Target.Kind.ALL, null, null),
    /** Endpoint updates arrive later (size: seconds added). */
    DISCOVERY_LATE(Target.Kind.ALL, Range.of("seconds added", 0, 600), null),
    /**
     * Sidecars are killed and lose their requests, and the applications next to them send no new requests. They are
     * back after {@code length} with only their persisted endpoint list.
     */
    SIDECAR_CRASH(Target.Kind.SIDECARS, null, null),
    /** Sidecars are paused. */
    SIDECAR_PAUSE(Target.Kind.SIDECARS, null, null);

    private final Target.Kind targets;
    private final Range size;
    private final Range part;

    Incident(Target.Kind targets, Range size, Range part) {
        this.targets = targets;
        this.size = size;
        this.part = part;
    }

    /** Returns the meaning and range of {@code size}; empty if the incident has none. */
    public Optional<Range> size() {
        return Optional.ofNullable(size);
    }

    /** Returns the meaning and range of {@code part}; empty if the incident has none. */
    public Optional<Range> part() {
        return Optional.ofNullable(part);
    }

    /** Returns what the incident can hit. */
    public Target.Kind targets() {
        return targets;
    }

    /** Returns the name as it is written in a file. */
    public String written() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The meaning of a number and its bounds, both inclusive. */
    public record Range(String description, double min, double max) {

        static Range of(String description, double min, double max) {
            return new Range(description, min, max);
        }

        boolean contains(double value) {
            return value >= min && value <= max;
        }
    }
}
