package peppergauge.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.TrafficCounts;
import peppergauge.forecast.KeyReport;

/** Reports whose counts follow from daemon, incarnation and sequence: what a truthful daemon would say. */
public final class Samples {

    public static final String SITE = "north";

    private Samples() {}

    /** Waits for a state, for as long as a crowded machine may take to come to it. */
    public static void until(String what, BooleanSupplier holds) throws InterruptedException {
        for (long end = System.nanoTime() + TimeUnit.MINUTES.toNanos(1); !holds.getAsBoolean(); Thread.sleep(10)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never: " + what);
            }
        }
    }

    /** Answers of a cell after so many reports. */
    public static long answered(int daemon, long incarnation, long sequence) {
        return sequence * (1 + daemon + incarnation % 7);
    }

    /** The same with keys, of eight servers in two zones. */
    public static DaemonReport sampled(int daemon, long incarnation, long sequence, long sentMs, KeyReport keys) {
        return new DaemonReport(
                SITE,
                "d" + daemon,
                incarnation,
                sequence,
                sentMs,
                report(daemon, incarnation, sequence, sentMs).counts(),
                keys,
                IntStream.range(0, 8)
                        .mapToObj(i -> new DaemonReport.Server("s" + i, i < 4 ? "east" : "west", -1))
                        .toList(),
                Map.of());
    }

    public static DaemonReport report(int daemon, long incarnation, long sequence, long sentMs) {
        List<TrafficCounts> cells = new ArrayList<>();
        for (String zone : new String[] {"east", "west"}) {
            Histogram latency = LatencyHistograms.empty();
            latency.recordValueWithCount(10 + daemon, answered(daemon, incarnation, sequence));
            cells.add(new TrafficCounts(
                    "radio",
                    "listen",
                    zone,
                    answered(daemon, incarnation, sequence),
                    sequence,
                    0,
                    LatencyHistograms.encode(latency)));
        }
        return new DaemonReport(SITE, "d" + daemon, incarnation, sequence, sentMs, cells);
    }
}
