package peppergauge.bodies.ledger;

import java.util.SplittableRandom;
import peppergauge.bodies.limits.Pace;
import peppergauge.bodies.limits.Windows;

/** Bodies of every kind, and the bounds that they share. */
public final class LedgerLoad {

    private LedgerLoad() { }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        new LedgerPropertiesTest().theSumsAreWhatIsThereAndEndAtZero(seed);
        SplittableRandom random = new SplittableRandom(seed);
        Windows windows = new Windows(Windows.LEAST * (1L + random.nextInt(8)), Windows.LEAST * 16L);
        Pace pace = new Pace(1_000, 800);
        double nowMs = 0;
        for (int i = 0; i < 400; i++) {
            nowMs += random.nextInt(50);
            if (windows.size() == 0 || random.nextInt(20) < 11) {
                windows.open();
            } else {
                windows.close();
            }
            windows.share();
            // What two threads' clocks tell may lie a little before the last.
            pace.turn(nowMs - random.nextInt(3), random.nextBoolean());
            pace.moved(nowMs, random.nextInt(200));
            pace.stopped(nowMs);
        }
    }
}
