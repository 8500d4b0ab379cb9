package peppergauge.lab.emulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Entry;
import peppergauge.lab.scenario.Incident;
import peppergauge.lab.scenario.Promises.Policy;
import peppergauge.lab.scenario.Scenario;

/**
 * Repeats the measurements of docs/PROMISES.md. Arguments: first and last seed, and optionally one kind of incident.
 */
final class PromisesByHand {

    /** Kind of incident; zone, time and size are drawn for each seed. */
    enum Trouble {
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
    record Figures(Stations.Balance balance, double worth, double largest) {}

    private static final double BLOCK_S = 3;

    private PromisesByHand() {}

    public static void main(String[] arguments) {
        Scenario stock = Stock.scenario("promises");
        long first = Long.parseLong(arguments[0]);
        long last = Long.parseLong(arguments[1]);
        System.out.println("| trouble | policy | windows kept | penalty of the most | worth | others in their aim"
                + " | largest step, 1/s |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        Trouble[] troubles = arguments.length > 2 ? new Trouble[] {Trouble.valueOf(arguments[2])} : Trouble.values();
        for (Trouble trouble : troubles) {
            for (Policy policy : Policy.values()) {
                List<Figures> all = LongStream.rangeClosed(first, last)
                        .parallel()
                        .mapToObj(seed -> run(stock, trouble, policy, seed))
                        .toList();
                System.out.printf(
                        "| %s | %s | %.3f | %.3f | %.4f | %.4f | %.1f |%n",
                        trouble,
                        policy,
                        (double) all.stream().mapToLong(f -> f.balance().kept()).sum()
                                / all.stream()
                                        .mapToLong(f -> f.balance().windows())
                                        .sum(),
                        all.stream().mapToDouble(f -> f.balance().penalty()).sum()
                                / all.stream()
                                        .mapToDouble(f -> f.balance().most())
                                        .sum(),
                        all.stream().mapToDouble(Figures::worth).average().orElse(0),
                        all.stream()
                                .mapToDouble(f -> f.balance().othersInAim())
                                .average()
                                .orElse(0),
                        all.stream().mapToDouble(Figures::largest).average().orElse(0));
            }
        }
        System.exit(0);
    }

    static Figures run(Scenario stock, Trouble trouble, Policy policy, long seed) {
        UniformRandomProvider luck = new Streams(seed).of("trouble");
        String zone = stock.network().zones().get(luck.nextInt(3));
        double atS = 70 + 50 * luck.nextDouble();
        double lengthS = 80 + 60 * luck.nextDouble();
        double size = 2.5 + 2 * luck.nextDouble();
        List<Entry> entries = new ArrayList<>();
        Consumer<World> beside = world -> {};
        switch (trouble) {
            case CALM -> {}
            case SLOW, RETRIES -> entries.add(entry(atS, Incident.SLOW, "zone:" + zone, lengthS, size));
            case CLASS_SLOW ->
                beside = world -> {
                    int kind = luck.nextInt(3);
                    world.time.after(1e3 * atS, () -> slow(world, zone, kind, size));
                    world.time.after(1e3 * (atS + lengthS), () -> slow(world, zone, kind, 1 / size));
                };
            case LOST -> entries.add(entry(atS, Incident.VANISH, "zone:" + zone, lengthS, 0));
            case FLAPPING -> {
                for (double s = atS; s < atS + lengthS; s += 4) {
                    entries.add(entry(s, Incident.SLOW, "zone:" + zone, 2, 2 * size));
                }
            }
        }
        if (trouble == Trouble.RETRIES) {
            entries.add(entry(atS, Incident.RETRY_STORM, "all", lengthS, 4));
        }
        Scenario scenario =
                stock.with(stock.run(), stock.servers(), entries).seeded(seed).steeredBy(policy);
        World[] seen = new World[1];
        Consumer<World> also = beside;
        RunResult result = Emulator.run("promises", scenario, world -> {
            seen[0] = world;
            also.accept(world);
        });
        if (!result.broken().isEmpty()) {
            throw new IllegalStateException(trouble + " " + policy + " seed " + seed + " " + result.broken());
        }
        return new Figures(seen[0].stations.balance(), result.totals().service(), largest(result));
    }

    private static void slow(World world, String zone, int kind, double times) {
        world.fleet.present().stream()
                .filter(server ->
                        server.zone() == world.scenario.network().zones().indexOf(zone))
                .forEach(server -> server.slow(kind, times));
    }

    private static Entry entry(double atS, Incident what, String target, double lengthS, double size) {
        return new Entry(
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
