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

/** By hand: what counting costs the loop, a session and a report; of 96 cells, then of 2,048 sampled keys of 2,000. */
public final class CountingCost {

    private CountingCost() {}

    private static List<String> names(String stem, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(stem + i);
        }
        return names;
    }

    public static void main(String[] args) {
        keys();
        TrafficCounter witness =
                new TrafficCounter(new SettingsNames(names("class", 4), names("station", 8), names("zone", 3)));
        witness.onEndpointUpdate(true, Map.of("s0", 0, "s1", 1, "s2", 2));
        Random random = new Random(1);
        String[] ids = names("id-", 1_000).toArray(String[]::new);
        for (int round = 0; round < 5; round++) {
            int sessions = 2_000_000;
            long start = System.nanoTime();
            for (int i = 0; i < sessions; i++) {
                String id = ids[i % 1_000];
                witness.onAttemptSent(id, "s" + i % 3);
                witness.onRequestEnded(
                        id, random.nextInt(8), i % 4, TrafficCounter.Outcome.ANSWERED, random.nextInt(400));
            }
            long counted = System.nanoTime();
            List<TrafficCounter.KeyCounts> copy = List.of();
            for (int i = 0; i < 100; i++) {
                copy = witness.copy();
            }
            long copied = System.nanoTime();
            long bytes = 0;
            for (int i = 0; i < 20; i++) {
                bytes = copy.stream()
                        .mapToLong(
                                each -> LatencyHistograms.encode(each.latency()).length())
                        .sum();
            }
            System.out.printf(
                    Locale.ROOT,
                    "%d cells: %.0f ns a session on the loop, %.3f ms a report on the loop, "
                            + "%.2f ms and %d KiB to encode beside it%n",
                    copy.size(),
                    (counted - start) / (double) sessions,
                    (copied - counted) / 1e8,
                    (System.nanoTime() - copied) / 2e7,
                    bytes / 1024);
        }
    }

    /** Each session with one attempt at one of 60 servers. */
    private static void keys() {
        KeyStatistics keys = SampledKeyStatistics.of(2_048, names("zone", 3));
        Random random = new Random(1);
        Message[] messages = names("/list/", 2_000).stream()
                .map(target -> new Message("GET", target, List.of(), new byte[0], null))
                .toArray(Message[]::new);
        String[] servers = names("s", 60).toArray(String[]::new);
        double nowMs = 0;
        for (int round = 0; round < 5; round++) {
            int sessions = 1_000_000;
            long start = System.nanoTime();
            for (int i = 0; i < sessions; i++, nowMs += 2) {
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
            KeyStatistics.Snapshot told = keys.snapshot();
            long copied = System.nanoTime();
            System.out.printf(
                    Locale.ROOT,
                    "%d keys: %.0f ns a session on the loop, %.2f ms a report on the loop, " + "%d KiB%n",
                    told.keys().keys().size(),
                    (counted - start) / (double) sessions,
                    (copied - counted) / 1e6,
                    JsonCodec.write(told).length / 1024);
        }
    }
}
