package peppergauge.overload;

import static peppergauge.invariant.Loads.require;

import java.util.List;
import java.util.SplittableRandom;

/** Checks the overload controller against random rounds, pauses and bursts, in virtual time. */
public final class OverloadControllerLoad {

    private static final int ROUNDS = 400;

    private final SplittableRandom random;
    private final OverloadController<Integer, String> overload;
    private double nowMs = 5_000;
    private int requests;
    private int rounds;

    private OverloadControllerLoad(long seed) {
        random = new SplittableRandom(seed);
        overload = new OverloadController<>(OverloadConfig.of(
                List.of(3.0, 0.0, 9.0), random.nextInt(3) / 2.0, random.nextBoolean(), 1_500, 20, seed));
    }

    /** @throws AssertionError if a property is violated */
    public static void run(long seed) {
        OverloadControllerLoad load = new OverloadControllerLoad(seed);
        for (int i = 0; i < ROUNDS; i++) {
            load.round();
        }
        require(load.overload.connectionEviction().isConsistent(), "the classes of connections do not add up");
    }

    private void round() {
        boolean isBurst = rounds++ / 100 % 2 == 1;
        nowMs += isBurst ? 0.01 : random.nextInt(500) == 0 ? random.nextInt(5_000) : random.nextDouble() * 20;
        overload.onSelectReturned(nowMs);
        for (int i = random.nextInt(isBurst ? 40 : 4); i > 0; i--) {
            String id = "x" + requests++;
            if (overload.queue().addNew(id, id) && random.nextInt(20) == 0) {
                overload.queue().remove(id);
            }
            overload.queue().addInProgress("in progress");
            changeConnection();
        }
        for (String task = overload.poll(); task != null; task = overload.poll()) {
            nowMs += random.nextDouble() * (isBurst ? 4 : 0.5);
            if (!task.equals("in progress")) {
                decide(task);
            }
        }
        require(overload.queue().size() == 0, "expected an empty queue after a round");
        // The times of two threads may be in any order.
        double waitMs = overload.acceptRateLimiter().acquireOrWaitMs(nowMs - random.nextInt(3));
        require(waitMs >= 0 && waitMs <= AcceptRateLimiter.MAX_WAIT_MS, "wait out of range: " + waitMs + " ms");
        overload.onRoundEnded(nowMs, random.nextBoolean());
    }

    private void decide(String id) {
        overload.admit(
                nowMs,
                new AdmissionRequest(
                        id, random.nextInt(3), random.nextBoolean(), random.nextBoolean(), random.nextInt(-10, 500)));
        double remainingMs = random.nextInt(-100, 2_000);
        double delayMs = overload.retryAfterMs(nowMs, remainingMs);
        require(delayMs >= 0 && delayMs <= 1_500, "Retry-After delay out of range: " + delayMs + " ms");
        if (random.nextBoolean()) {
            overload.onResponse(nowMs, random.nextDouble() * 200);
        }
        require(
                overload.admittedShare() > 0 && overload.admittedShare() <= 1,
                "admitted share out of range: " + overload.admittedShare());
    }

    /** Makes a random call for a random connection, which may be closed or may never have been opened. */
    private void changeConnection() {
        int connection = random.nextInt(60);
        switch (random.nextInt(8)) {
            case 0, 1 -> overload.connectionEviction().onOpened(connection, nowMs);
            case 2 -> overload.connectionEviction().onBytesRead(connection, nowMs);
            case 3, 4 -> overload.connectionEviction().onRequestReceived(connection);
            case 5 -> overload.connectionEviction().onResponseSent(connection, nowMs, random.nextBoolean());
            case 6 -> overload.connectionEviction().onClosed(connection);
            default -> {
                overload.connectionEviction().nextToEvict(nowMs);
                overload.connectionEviction().nextSurplus(nowMs, 3);
            }
        }
    }
}
