package peppergauge.lab.scenario;

import java.time.Duration;
import java.util.Optional;
import peppergauge.lab.nomad.ApiFault;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * Section {@code [[at]]}: an incident with its time and target. The meaning of length, size and part, and whether they
 * may be missing, depends on the incident.
 *
 * @param time start of the incident, from the start of the run
 * @param what the incident
 * @param target what the incident hits, see {@link Target}
 * @param length duration of the incident
 * @param size magnitude of the incident
 * @param part share of what is hit
 * @param fault the fault of Nomad's API, for {@link Incident#DISCOVERY_FAULT}
 */
public record ScheduledIncident(
        Duration time,
        Incident what,
        String target,
        Optional<Duration> length,
        Optional<Double> size,
        Optional<Double> part,
        Optional<ApiFault> fault) {

    static final Key<Duration> TIME = Key.required(
            "time", Scenario.duration(0, 86_400_000), "\"10 s\"", "When it happens, from the start of the run.");
    static final Key<Incident> WHAT = Key.required(
            "what",
            Types.oneOf(Incident.class),
            "\"pause\"",
            "What happens; docs/LAB.md says what each one does, and what its length, size and part are.");
    static final Key<String> TARGET = Key.preset(
            "target",
            Types.text(1, 60),
            "\"all\"",
            "Whom it happens to: all; "
                    + "zone:NAME; share:0.2 of the servers; a kind or a server, gen-a or gen-a-1; sidecars; sidecar-1; "
                    + "sidecars:0.5 of them; class:NAME; tenant:NAME.");
    static final Key<Duration> LENGTH = Key.optional(
            "length",
            Scenario.duration(1, 86_400_000),
            "\"10 s\"",
            "How long it lasts. Without: to the end of the run.");
    static final Key<Double> SIZE = Key.optional(
            "size", Types.number(0, 1_000_000), "3", "How much: what this counts depends on what happens.");
    static final Key<Double> PART =
            Key.optional("part", Types.number(0, 1), "0.5", "Which share: what this counts depends on what happens.");
    static final Key<ApiFault> FAULT = Key.optional(
            "fault",
            Types.oneOf(ApiFault.class),
            "\"empty\"",
            "What is wrong with Nomad's API, for discovery-fault; docs/NOMAD.md says what each does.");
    static final Table TABLE =
            Table.repeated("at", 0, 1_000, "Something that happens.", TIME, WHAT, TARGET, LENGTH, SIZE, PART, FAULT);

    /** Returns the length in ms; infinite if it is missing. */
    public double lengthMs() {
        return length.map(Scenario::toMillis).orElse(Double.POSITIVE_INFINITY);
    }
}
