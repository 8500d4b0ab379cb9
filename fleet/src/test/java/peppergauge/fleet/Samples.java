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

/** Sample reports of daemons that count correctly: the counts follow from daemon, incarnation and sequence. */
public final class Samples {

    public static final String SITE = "north";

    private Samples() {}

    /** Waits until a condition holds; the timeout of a minute allows for a busy machine. */
    public static void awaitCondition(String description, BooleanSupplier condition) throws InterruptedException {
        for (long end = System.nanoTime() + TimeUnit.MINUTES.toNanos(1); !condition.getAsBoolean(); Thread.sleep(10)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("expected within a minute: " + description);
            }
        }
    }

    /** Returns the number of answered requests of a traffic key in a report. */
    public static long answered(int daemon, long incarnation, long sequence) {
        return sequence * (1 + daemon + incarnation % 7);
    }

    /** Returns a report with keys and eight servers in two zones. */
    public static DaemonReport reportWithKeys(
            int daemon, long incarnation, long sequence, long sentMs, KeyReport keys) {
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
        List<TrafficCounts> counts = new ArrayList<>();
        for (String zone : new String[] {"east", "west"}) {
            Histogram latency = LatencyHistograms.empty();
            latency.recordValueWithCount(10 + daemon, answered(daemon, incarnation, sequence));
            counts.add(new TrafficCounts(
                    "radio",
                    "listen",
                    zone,
                    answered(daemon, incarnation, sequence),
                    sequence,
                    0,
                    LatencyHistograms.encode(latency)));
        }
        return new DaemonReport(SITE, "d" + daemon, incarnation, sequence, sentMs, counts);
    }
}
