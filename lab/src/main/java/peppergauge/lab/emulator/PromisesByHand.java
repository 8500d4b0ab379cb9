package peppergauge.lab.emulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Incident;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;
import peppergauge.lab.scenario.ZoneWeightPolicy.Policy;

/**
 * Repeats the measurements of docs/PROMISES.md. Arguments: first and last seed, and optionally one kind of incident.
 */
final class PromisesByHand {

    /** Kind of incident; zone, time and size are drawn for each seed. */
    enum IncidentCase {
        CALM,
        SLOW,
        CLASS_SLOW,
        LOST,
        FLAPPING,
        RETRIES
    }

    /**
     * Outcome of one run.
     *
     * @param largest largest rise of the attempts per second at one server between consecutive blocks of 3 s
     */
    record RunOutcome(FleetServiceModel.ObjectiveTotals objectiveTotals, double worth, double largest) {}

    private static final double BLOCK_S = 3;

    private PromisesByHand() {}

    public static void main(String[] arguments) {
        Scenario stock = BundledScenarios.scenario("promises");
        long first = Long.parseLong(arguments[0]);
        long last = Long.parseLong(arguments[1]);
        System.out.println("| incident | policy | windows kept | share of largest penalty | worth | others within aim"
                + " | largest step, 1/s |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        IncidentCase[] incidentCases =
                arguments.length > 2 ? new IncidentCase[] {IncidentCase.valueOf(arguments[2])} : IncidentCase.values();
        for (IncidentCase incidentCase : incidentCases) {
            for (Policy policy : Policy.values()) {
                List<RunOutcome> outcomes = LongStream.rangeClosed(first, last)
                        .parallel()
                        .mapToObj(seed -> run(stock, incidentCase, policy, seed))
                        .toList();
                System.out.printf(
                        "| %s | %s | %.3f | %.3f | %.4f | %.4f | %.1f |%n",
                        incidentCase,
                        policy,
                        (double) outcomes.stream()
                                        .mapToLong(f -> f.objectiveTotals().met())
                                        .sum()
                                / outcomes.stream()
                                        .mapToLong(f -> f.objectiveTotals().windows())
                                        .sum(),
                        outcomes.stream()
                                        .mapToDouble(f -> f.objectiveTotals().penalty())
                                        .sum()
                                / outcomes.stream()
                                        .mapToDouble(f -> f.objectiveTotals().maxPenalty())
                                        .sum(),
                        outcomes.stream()
                                .mapToDouble(RunOutcome::worth)
                                .average()
                                .orElse(0),
                        outcomes.stream()
                                .mapToDouble(f -> f.objectiveTotals().othersInAim())
                                .average()
                                .orElse(0),
                        outcomes.stream()
                                .mapToDouble(RunOutcome::largest)
                                .average()
                                .orElse(0));
            }
        }
        System.exit(0);
    }

    static RunOutcome run(Scenario stock, IncidentCase incidentCase, Policy policy, long seed) {
        UniformRandomProvider random = new RandomStreams(seed).of("trouble");
        String zone = stock.network().zones().get(random.nextInt(3));
        double atS = 70 + 50 * random.nextDouble();
        double lengthS = 80 + 60 * random.nextDouble();
        double size = 2.5 + 2 * random.nextDouble();
        List<ScheduledIncident> entries = new ArrayList<>();
        Consumer<EmulationContext> configure = context -> {};
        switch (incidentCase) {
            case CALM -> {}
            case SLOW, RETRIES -> entries.add(entry(atS, Incident.SLOW, "zone:" + zone, lengthS, size));
            case CLASS_SLOW ->
                configure = context -> {
                    int kind = random.nextInt(3);
                    context.time.after(1e3 * atS, () -> slow(context, zone, kind, size));
                    context.time.after(1e3 * (atS + lengthS), () -> slow(context, zone, kind, 1 / size));
                };
            case LOST -> entries.add(entry(atS, Incident.VANISH, "zone:" + zone, lengthS, 0));
            case FLAPPING -> {
                for (double s = atS; s < atS + lengthS; s += 4) {
                    entries.add(entry(s, Incident.SLOW, "zone:" + zone, 2, 2 * size));
                }
            }
        }
        if (incidentCase == IncidentCase.RETRIES) {
            entries.add(entry(atS, Incident.RETRY_STORM, "all", lengthS, 4));
        }
        Scenario scenario =
                stock.with(stock.run(), stock.servers(), entries).withSeed(seed).withPolicy(policy);
        EmulationContext[] contexts = new EmulationContext[1];
        Consumer<EmulationContext> configureRun = configure;
        RunResult result = Emulator.run("promises", scenario, context -> {
            contexts[0] = context;
            configureRun.accept(context);
        });
        if (!result.broken().isEmpty()) {
            throw new IllegalStateException(incidentCase + " " + policy + " seed " + seed + " " + result.broken());
        }
        return new RunOutcome(
                contexts[0].fleetService.objectiveTotals(), result.totals().service(), largest(result));
    }

    private static void slow(EmulationContext context, String zone, int kind, double times) {
        context.fleet.present().stream()
                .filter(server ->
                        server.zone() == context.scenario.network().zones().indexOf(zone))
                .forEach(server -> server.slow(kind, times));
    }

    private static ScheduledIncident entry(double atS, Incident what, String target, double lengthS, double size) {
        return new ScheduledIncident(
                Duration.ofMillis((long) (1e3 * atS)),
                what,
                target,
                Optional.of(Duration.ofMillis((long) (1e3 * lengthS))),
                what.size().isPresent() ? Optional.of(size) : Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    private static double largest(RunResult result) {
        double largest = 0;
        for (RunResult.ServerResult server : result.servers()) {
            double before = Double.NaN;
            for (int s = 0; s + BLOCK_S <= result.seconds().size(); s += (int) BLOCK_S) {
                double attempts = 0;
                for (int i = s; i < s + BLOCK_S; i++) {
                    attempts += server.weight().get(i) * result.seconds().get(i).attempts();
                }
                largest = Double.isNaN(before) ? largest : Math.max(largest, (attempts - before) / BLOCK_S);
                before = attempts;
            }
        }
        return largest;
    }
}
