package peppergauge.lab.scenario;

import java.util.Locale;
import java.util.Optional;

/** What an entry can make happen. Figures in brackets: what {@code size} and {@code part} mean. */
public enum Incident {

    /** The process dies with its work in hand and resets its connections; comes back cold after {@code length}. */
    KILL(Target.Kind.SERVERS, null, null),
    /** The machine is gone without a word: nothing answers, open connections stay open; back after {@code length}. */
    VANISH(Target.Kind.SERVERS, null, null),
    /** Gray failure: cores are slower (size: how many times). */
    SLOW(Target.Kind.SERVERS, Range.of("how many times slower", 1, 1_000), null),
    /** Nothing is worked on; what comes waits. */
    PAUSE(Target.Kind.SERVERS, null, null),
    /** Requests fail at once without work (part: share of them). */
    FAST_ERRORS(Target.Kind.SERVERS, null, Range.of("share that fails", 0, 1)),
    /** What ran has run, but its connection breaks in place of the answer (part: share of answers). */
    LOSE_ANSWERS(Target.Kind.SERVERS, null, Range.of("share of answers", 0, 1)),
    /** Servers leave one batch after the other and successors start cold (part: share of the target in a batch). */
    DEPLOY(Target.Kind.SERVERS, Range.of("seconds that a server drains", 0, 600), Range.of("share in a batch", 0, 1)),
    /** Servers drain, and are gone after {@code length}. */
    DRAIN(Target.Kind.SERVERS, null, null),
    /** Nothing passes between the zone and the others; open connections are silent. */
    CUT(Target.Kind.ZONE, null, null),
    /** Ways from and to the zone take longer (size: ms added, one way). */
    DELAY(Target.Kind.ZONE, Range.of("ms added one way", 0, 10_000), null),
    /** More is asked (size: how many times the rate). */
    BURST(Target.Kind.CLIENTS, Range.of("times the rate", 0, 1_000), null),
    /** Clients retry at once and follow no Retry-After (size: retries). */
    RETRY_STORM(Target.Kind.ALL, Range.of("retries", 0, 10), null),
    /** Some requests cost far more (size: times the work; part: share of the requests). */
    HEAVY_TAIL(Target.Kind.CLASSES, Range.of("times the work", 1, 10_000), Range.of("share of the requests", 0, 1)),
    /** Some requests kill the server that works on them; it is back in 3 s (size: how many requests at most). */
    POISON(Target.Kind.CLASSES, Range.of("poisoned requests", 1, 100), null),
    /** Discovery answers nobody. */
    DISCOVERY_DOWN(Target.Kind.ALL, null, null),
    /** Discovery says that there are no servers. */
    DISCOVERY_EMPTY(Target.Kind.ALL, null, null),
    /** Nomad's API goes wrong in the way that {@code fault} names; for {@code [discovery] source = "nomad"}. */
    DISCOVERY_FAULT(Target.Kind.ALL, null, null),
    /** Discovery tells later (size: seconds added). */
    DISCOVERY_LATE(Target.Kind.ALL, Range.of("seconds added", 0, 600), null),
    /**
     * Sidecars die with what they hold, and the applications beside them ask for nothing new; back after
     * {@code length} with their last list only.
     */
    SIDECAR_CRASH(Target.Kind.SIDECARS, null, null),
    /** Sidecars stand still. */
    SIDECAR_PAUSE(Target.Kind.SIDECARS, null, null);

    private final Target.Kind targets;
    private final Range size;
    private final Range part;

    Incident(Target.Kind targets, Range size, Range part) {
        this.targets = targets;
        this.size = size;
        this.part = part;
    }

    /** What may stand there; empty if nothing may. */
    public Optional<Range> size() {
        return Optional.ofNullable(size);
    }

    /** What may stand there; empty if nothing may. */
    public Optional<Range> part() {
        return Optional.ofNullable(part);
    }

    /** To whom this can happen. */
    public Target.Kind targets() {
        return targets;
    }

    /** As written in a file. */
    public String written() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** A figure's meaning and bounds, inclusive. */
    public record Range(String about, double least, double most) {

        static Range of(String about, double least, double most) {
            return new Range(about, least, most);
        }

        boolean holds(double value) {
            return value >= least && value <= most;
        }
    }
}
