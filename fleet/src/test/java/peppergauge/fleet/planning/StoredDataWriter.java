package peppergauge.fleet.planning;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.member.Member;
import peppergauge.fleet.planner.ForecastOutcome;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.fleet.state.TrafficTotals;
import peppergauge.fleet.storage.PersistedState;
import peppergauge.fleet.storage.PersistedVersions;
import peppergauge.fleet.storage.RecordFile;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.fleet.wire.GossipRequest;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.fleet.wire.ReportResponse;
import peppergauge.fleet.wire.TableResponse;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.accuracy.ForecastAccuracy;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.observation.ResponseTimes;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerState;
import peppergauge.promises.outcome.OutcomeWindows;
import peppergauge.snapshot.storage.PosixFileSystem;

/**
 * Writes the files under {@code src/test/resources/stored} that {@link StoredDataTest} reads. They were written once,
 * in the formats of revision e30269d, and must not be written again: they show that stored data stays readable.
 */
final class StoredDataWriter {

    static final long NOW_MS = 1_700_000_000_000L;
    static final TrafficKey TRAFFIC_KEY = new TrafficKey("radio", "listen", "east");

    private StoredDataWriter() {}

    /** @param folder one argument: the folder for the files, which must exist and be accessible to this user only */
    public static void main(String[] folder) throws IOException {
        Path target = Path.of(folder[0]);
        try (RecordFile<PersistedVersions> file =
                new RecordFile<>(new PosixFileSystem(), target, "fleet-1", "versions", PersistedVersions.class)) {
            file.write(new PersistedVersions(NOW_MS << 16 | 1), NOW_MS);
        }
        try (RecordFile<PersistedState> file =
                new RecordFile<>(new PosixFileSystem(), target, "fleet-1", "state", PersistedState.class)) {
            file.write(state(), NOW_MS);
        }
        Files.write(target.resolve("report.json"), JsonCodec.write(report()));
        Files.write(target.resolve("report-answer.json"), JsonCodec.write(new ReportResponse("taken", 5_000, 6_000)));
        Files.write(target.resolve("table-answer.json"), JsonCodec.write(new TableResponse(table(), 6_000)));
        Files.write(target.resolve("gossip.json"), JsonCodec.write(gossip()));
        Files.write(target.resolve("gossip-answer.json"), JsonCodec.write(gossipResponse()));
    }

    static Histogram latency() {
        Histogram latency = LatencyHistograms.empty();
        latency.recordValueWithCount(12, 30);
        latency.recordValueWithCount(480, 2);
        return latency;
    }

    static PersistedState state() {
        Map<TrafficKey, TrafficTotals.Total> totals = Map.of(TRAFFIC_KEY, new TrafficTotals.Total(32, 3, 1, latency()));
        return PersistedState.of(
                List.of(report()), totals, JsonCodec.write(controllerState()), JsonCodec.write(scores()));
    }

    static ControllerState controllerState() {
        return new ControllerState(
                NOW_MS,
                List.of(new OutcomeWindows.PersistedWindows(
                        TRAFFIC_KEY,
                        List.of(600_000L),
                        List.of(Map.of(
                                NOW_MS / 10_000,
                                new peppergauge.promises.outcome.OutcomeCounts(90, 10),
                                NOW_MS / 10_000 - 1,
                                new peppergauge.promises.outcome.OutcomeCounts(95, 5))))),
                Map.of("radio", Map.of("east", 0.25, "west", 0.75)),
                Map.of("radio", Map.of("east", 0.5, "west", 1.0)),
                Map.of(
                        "radio",
                        Map.of(
                                "east",
                                new ControllerState.PersistedZoneHealth(true, NOW_MS + 60_000, NOW_MS - 1_000, 2))),
                Map.of("east", 40.5, "west", 60.25));
    }

    static PersistedScores scores() {
        return new PersistedScores(
                1,
                new ForecastAccuracy.PersistedAccuracy(
                        true, List.of(new ForecastAccuracy.Outcome(true, 0.02, 0.1, 0.01))),
                5,
                Map.of("not-settled", 2L),
                List.of(new ForecastOutcome(
                        "zone-lost:east", "soon", NOW_MS, new HitRate(0.5, 0.25, 0.75), 0.875, 0.5, 0.01, true)));
    }

    static DaemonReport report() {
        ServiceTimes.Sum sum = new ServiceTimes.Sum(4, 5.5, 8.25);
        return new DaemonReport(
                "north",
                "daemon-1",
                NOW_MS - 5_000,
                7,
                NOW_MS,
                List.of(new DaemonReport.TrafficCounts(
                        "radio", "listen", "east", 32, 3, 1, LatencyHistograms.encode(latency()))),
                new KeyReport(
                        1L << 60,
                        1_000,
                        List.of(new KeyReport.Key(42, "radio", 17, List.of(0L, 3L, 4L))),
                        new KeyReport.Heavy(2, 9, List.of(new KeyReport.Heavy.Count(84, "radio", 11)))),
                List.of(new DaemonReport.Server("s1", "east", 3), new DaemonReport.Server("s2", "west", -1)),
                Map.of("3", new ServiceTimes.Snapshot(List.of(sum), Map.of(42L, sum))),
                new ResponseTimes(1L << 58, sum, new ServiceTimes.Sum(1, 0.5, 0.25), Map.of(42L, sum)));
    }

    static FleetTable table() {
        return new FleetTable(
                "north",
                NOW_MS << 16 | 1,
                NOW_MS,
                60_000,
                "fleet-1",
                new ZoneWeights(Map.of("radio", Map.of("east", 0.5))));
    }

    static GossipRequest gossip() {
        return new GossipRequest(
                "north",
                "fleet-1",
                1,
                NOW_MS,
                List.of(
                        new Member("fleet-1", NOW_MS, Member.Status.ALIVE),
                        new Member("fleet-2", 4, Member.Status.SUSPECT)),
                77,
                5,
                true);
    }

    static GossipRequest.Response gossipResponse() {
        return new GossipRequest.Response(
                "fleet-2",
                9,
                List.of(
                        new Member("fleet-1", NOW_MS, Member.Status.DEAD),
                        new Member("fleet-2", 9, Member.Status.LEFT)),
                77,
                6,
                true,
                List.of(report()),
                NOW_MS << 16 | 1,
                table());
    }
}
