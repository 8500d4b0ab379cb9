package peppergauge.lab.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.fleet.client.KeyStatistics;
import peppergauge.fleet.client.SampledKeyStatistics;
import peppergauge.fleet.client.TrafficCounter;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.settings.SettingsNames;

/**
 * Measures, as a program that is started manually, the time that traffic counting takes for each request and report:
 * for 2,000 keys with a sample of up to 2,048, then for 96 cells.
 */
public final class CountingCost {

    private CountingCost() {}

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(prefix + i);
        }
        return names;
    }

    public static void main(String[] args) {
        measureKeyStatistics();
        TrafficCounter counter =
                new TrafficCounter(new SettingsNames(names("class", 4), names("station", 8), names("zone", 3)));
        counter.onEndpointUpdate(true, Map.of("s0", 0, "s1", 1, "s2", 2));
        Random random = new Random(1);
        String[] ids = names("id-", 1_000).toArray(String[]::new);
        for (int round = 0; round < 5; round++) {
            int requests = 2_000_000;
            long start = System.nanoTime();
            for (int i = 0; i < requests; i++) {
                String id = ids[i % 1_000];
                counter.onAttemptSent(id, "s" + i % 3);
                counter.onRequestEnded(
                        id, random.nextInt(8), i % 4, TrafficCounter.Outcome.ANSWERED, random.nextInt(400));
            }
            long counted = System.nanoTime();
            List<TrafficCounter.KeyCounts> copy = List.of();
            for (int i = 0; i < 100; i++) {
                copy = counter.copy();
            }
            long copied = System.nanoTime();
            long bytes = 0;
            for (int i = 0; i < 20; i++) {
                bytes = copy.stream()
                        .mapToLong(
                                cell -> LatencyHistograms.encode(cell.latency()).length())
                        .sum();
            }
            System.out.printf(
                    Locale.ROOT,
                    "%d cells: on the event loop %.0f ns per request and %.3f ms per report; "
                            + "encoding off the event loop %.2f ms, %d KiB%n",
                    copy.size(),
                    (counted - start) / (double) requests,
                    (copied - counted) / 1e8,
                    (System.nanoTime() - copied) / 2e7,
                    bytes / 1024);
        }
    }

    /** Records requests with one attempt each at one of 60 servers. */
    private static void measureKeyStatistics() {
        KeyStatistics keys = SampledKeyStatistics.of(2_048, names("zone", 3));
        Random random = new Random(1);
        Message[] messages = names("/list/", 2_000).stream()
                .map(target -> new Message("GET", target, List.of(), new byte[0], null))
                .toArray(Message[]::new);
        String[] servers = names("s", 60).toArray(String[]::new);
        double nowMs = 0;
        for (int round = 0; round < 5; round++) {
            int requests = 1_000_000;
            long start = System.nanoTime();
            for (int i = 0; i < requests; i++, nowMs += 2) {
                String id = "id-" + i;
                String server = servers[random.nextInt(60)];
                keys.onRequest(
                        new IncomingRequest(id, 0, 0, 500, false, nowMs, messages[random.nextInt(2_000)]),
                        "station",
                        nowMs);
                keys.onAttemptSent(id, server, nowMs);
                keys.onAttemptEnded(
                        new AttemptEnded(id, 1, server, Outcome.SUCCESS, 20 + random.nextInt(20), true, null));
                keys.onRequestEnded(id);
            }
            long counted = System.nanoTime();
            KeyStatistics.Snapshot snapshot = keys.snapshot();
            long copied = System.nanoTime();
            System.out.printf(
                    Locale.ROOT,
                    "%d keys: on the event loop %.0f ns per request and %.2f ms per report; %d KiB%n",
                    snapshot.keys().keys().size(),
                    (counted - start) / (double) requests,
                    (copied - counted) / 1e6,
                    JsonCodec.write(snapshot).length / 1024);
        }
    }
}
