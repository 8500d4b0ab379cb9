package peppergauge.lab.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates a run from its seed. Equal seeds give equal runs. */
final class SoakScheduleGenerator {

    private static final List<Integer> GRACES_MS = List.of(400, 750, 1_000);
    private static final int MIN_LENGTH_MS = 6_000;
    private static final int LENGTH_SPREAD_MS = 5_000;
    /** Only the load runs before this time. */
    private static final int FIRST_STEP_MS = 800;

    private static final int LONG_OUTAGE_MS = 20_000;

    /** Separates the draws of failing calls from those of the other steps. */
    private static final long FAILING_CALLS_SEED = 0x5eed_ca11L;

    private static final int MAX_FAILING_PERIODS = 3;
    private static final int MIN_FAILING_MS = 300;
    private static final int MAX_FAILING_MS = 3_000;
    /** Faults are drawn from seeds below this. */
    private static final int CALL_FAULTS = 1_000;

    private final UniformRandomProvider random;
    private final List<SoakStep> steps = new ArrayList<>();
    private final int lengthMs;

    private SoakScheduleGenerator(long seed, boolean longOutage) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        lengthMs = MIN_LENGTH_MS + random.nextInt(LENGTH_SPREAD_MS) + (longOutage ? LONG_OUTAGE_MS : 0);
    }

    /**
     * Generates a run.
     *
     * @param longOutage whether discovery is silent for at least 20 s, and servers drain at its end
     */
    static SoakFile generate(long seed, boolean longOutage) {
        SoakScheduleGenerator schedule = new SoakScheduleGenerator(seed, longOutage);
        int graceMs = GRACES_MS.get(schedule.random.nextInt(GRACES_MS.size()));
        schedule.generateSteps(longOutage);
        return new SoakFile(
                new SoakFile.Run(seed, Duration.ofMillis(schedule.lengthMs), Duration.ofMillis(graceMs)),
                schedule.steps);
    }

    /** Returns the same run with one to three periods in which system calls fail, one of which may span SIGTERM. */
    static SoakFile withFailingCalls(SoakFile file) {
        UniformRandomProvider random =
                RandomSource.XO_SHI_RO_256_PP.create(file.run().seed() ^ FAILING_CALLS_SEED);
        int lengthMs = (int) file.run().length().toMillis();
        List<SoakStep> steps = new ArrayList<>(file.steps());
        for (int periods = 1 + random.nextInt(MAX_FAILING_PERIODS); periods > 0; periods--) {
            int atMs = random.nextInt(3) == 0
                    ? lengthMs - random.nextInt(MAX_FAILING_MS)
                    : FIRST_STEP_MS + random.nextInt(lengthMs - FIRST_STEP_MS);
            int durationMs = MIN_FAILING_MS + random.nextInt(MAX_FAILING_MS - MIN_FAILING_MS);
            steps.add(new SoakStep(
                    Duration.ofMillis(atMs),
                    StepKind.CALLS_FAIL,
                    Duration.ofMillis(durationMs),
                    random.nextInt(CALL_FAULTS)));
        }
        steps.sort(Comparator.comparing(SoakStep::time));
        return file.withSteps(steps);
    }

    private void generateSteps(boolean longOutage) {
        if (random.nextInt(3) == 0) {
            add(StepKind.TERMINATE_START, 30 + random.nextInt(900), 0, 0);
        }
        if (longOutage) {
            add(StepKind.DISCOVERY_SILENT, FIRST_STEP_MS, LONG_OUTAGE_MS + random.nextInt(2_000), 0);
        } else if (random.nextInt(2) == 0) {
            addDiscoveryOutage();
        }
        for (int drains = random.nextInt(3); drains > 0; drains--) {
            add(StepKind.DRAIN, randomTimeMs(), 0, 0);
        }
        if (random.nextInt(3) > 0) {
            addReloads();
        }
        for (int others = 1 + random.nextInt(5); others > 0; others--) {
            addOtherStep();
        }
        addShutdownSteps();
        steps.sort(Comparator.comparing(SoakStep::time));
    }

    /** Adds a fault of discovery and a drain around its end, which the sidecar learns of afterwards. */
    private void addDiscoveryOutage() {
        List<StepKind> kinds = List.of(
                StepKind.DISCOVERY_SILENT,
                StepKind.DISCOVERY_SLOW,
                StepKind.DISCOVERY_CROWDED,
                StepKind.WATCHES_SILENT,
                StepKind.RESET_WATCHES);
        StepKind kind = kinds.get(random.nextInt(kinds.size()));
        int atMs = randomTimeMs();
        int outageMs = Math.min(lengthMs - atMs, 500 + random.nextInt(4_000));
        add(kind, atMs, outageMs, 0);
        add(StepKind.DRAIN, atMs + random.nextInt(outageMs + 200), 0, 0);
    }

    /** Adds several new configurations in a row. */
    private void addReloads() {
        List<StepKind> kinds = List.of(
                StepKind.MOVE_DISCOVERY,
                StepKind.MOVE_DISCOVERY,
                StepKind.SAME_CONFIGURATION,
                StepKind.TORN_CONFIGURATION,
                StepKind.WRONG_CONFIGURATION);
        int atMs = randomTimeMs();
        for (int signals = 1 + random.nextInt(4); signals > 0; signals--) {
            add(kinds.get(random.nextInt(kinds.size())), atMs, 0, 0);
            atMs += random.nextInt(random.nextBoolean() ? 60 : 800);
        }
    }

    private void addOtherStep() {
        int atMs = randomTimeMs();
        switch (random.nextInt(7)) {
            case 0 -> add(StepKind.SERVERS_HANG, atMs, 300 + random.nextInt(1_500), 0);
            case 1 -> add(StepKind.IDLE_CONNECTIONS_END, atMs, 0, 0);
            case 2 -> add(StepKind.SERVERS_FAIL, atMs, 100 + random.nextInt(800), 0);
            case 3 -> add(StepKind.HOLD, atMs, 20 + random.nextInt(131), 0);
            case 4 -> add(StepKind.CROWD, atMs, 500 + random.nextInt(3_000), 30 + random.nextInt(60));
            case 5 -> add(StepKind.HALF_REQUESTS, atMs, 0, 1 + random.nextInt(6));
            default -> add(StepKind.QUIET, atMs, 500 + random.nextInt(4_000), 0);
        }
    }

    private void addShutdownSteps() {
        if (random.nextInt(3) == 0) {
            add(StepKind.TERMINATE_AGAIN, random.nextInt(1_000), 0, 0);
        }
        if (random.nextInt(3) == 0) {
            add(StepKind.HANG_UP_AT_THE_END, random.nextInt(1_000), 0, 0);
        }
        if (random.nextInt(3) == 0) {
            add(StepKind.HANG_AT_THE_END, 0, 0, 0);
        }
        if (random.nextInt(3) == 0) {
            add(StepKind.REST_AT_THE_END, 0, 0, 0);
        }
        if (random.nextInt(4) == 0) {
            add(StepKind.CROWD_AT_THE_END, 0, 0, 30 + random.nextInt(60));
        }
        if (random.nextInt(3) == 0) {
            add(StepKind.HALF_REQUESTS, lengthMs - random.nextInt(1_500), 0, 1 + random.nextInt(4));
        }
        if (random.nextInt(3) == 0) {
            add(StepKind.SAME_CONFIGURATION, lengthMs - random.nextInt(100), 0, 0);
        }
    }

    private int randomTimeMs() {
        return FIRST_STEP_MS + random.nextInt(lengthMs - FIRST_STEP_MS - 500);
    }

    private void add(StepKind what, int atMs, int durationMs, int count) {
        steps.add(new SoakStep(Duration.ofMillis(atMs), what, Duration.ofMillis(durationMs), count));
    }
}
