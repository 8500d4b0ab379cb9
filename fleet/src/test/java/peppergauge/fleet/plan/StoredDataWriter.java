package peppergauge.fleet.plan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.decide.ForecastOutcome;
import peppergauge.fleet.disk.KeptFile;
import peppergauge.fleet.disk.KeptState;
import peppergauge.fleet.disk.KeptVersions;
import peppergauge.fleet.member.Member;
import peppergauge.fleet.state.Latencies;
import peppergauge.fleet.state.Tally;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.fleet.wire.Gossip;
import peppergauge.fleet.wire.Json;
import peppergauge.fleet.wire.ReportAnswer;
import peppergauge.fleet.wire.TableAnswer;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.hits.HitRate;
import peppergauge.forecast.memory.ServiceTimes;
import peppergauge.forecast.seen.AnswerLevels;
import peppergauge.forecast.trust.TrackRecord;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerState;
import peppergauge.promises.outcome.OutcomeWindows;
import peppergauge.snapshot.storage.PosixFileSystem;

/**
 * Writes the files under {@code src/test/resources/stored} that {@link StoredDataTest} reads. They were written once, by
 * revision e30269d's formats, and are not to be written again: they show that stored data stays readable.
 */
final class StoredDataWriter {

    static final long NOW_MS = 1_700_000_000_000L;
    static final TrafficKey CELL = new TrafficKey("radio", "listen", "east");

    private StoredDataWriter() {}

    /** @param folder one argument: where the files go; must exist and belong to this user alone */
    public static void main(String[] folder) throws IOException {
        Path to = Path.of(folder[0]);
        try (KeptFile<KeptVersions> file =
                new KeptFile<>(new PosixFileSystem(), to, "fleet-1", "versions", KeptVersions.class)) {
            file.write(new KeptVersions(NOW_MS << 16 | 1), NOW_MS);
        }
        try (KeptFile<KeptState> file =
                new KeptFile<>(new PosixFileSystem(), to, "fleet-1", "state", KeptState.class)) {
            file.write(state(), NOW_MS);
        }
        Files.write(to.resolve("report.json"), Json.write(report()));
        Files.write(to.resolve("report-answer.json"), Json.write(new ReportAnswer("taken", 5_000, 6_000)));
        Files.write(to.resolve("table-answer.json"), Json.write(new TableAnswer(table(), 6_000)));
        Files.write(to.resolve("gossip.json"), Json.write(gossip()));
        Files.write(to.resolve("gossip-answer.json"), Json.write(gossipAnswer()));
    }

    static Histogram latency() {
        Histogram latency = Latencies.empty();
        latency.recordValueWithCount(12, 30);
        latency.recordValueWithCount(480, 2);
        return latency;
    }

    static KeptState state() {
        Map<TrafficKey, Tally.Total> totals = Map.of(CELL, new Tally.Total(32, 3, 1, latency()));
        return KeptState.of(List.of(report()), totals, Json.write(steering()), Json.write(scores()));
    }

    static ControllerState steering() {
        return new ControllerState(
                NOW_MS,
                List.of(new OutcomeWindows.PersistedWindows(
                        CELL,
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

    static KeptScores scores() {
        return new KeptScores(
                1,
                new TrackRecord.Kept(true, List.of(new TrackRecord.Outcome(true, 0.02, 0.1, 0.01))),
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
                List.of(new DaemonReport.CellCounts("radio", "listen", "east", 32, 3, 1, Latencies.encode(latency()))),
                new KeyReport(
                        1L << 60,
                        1_000,
                        List.of(new KeyReport.Key(42, "radio", 17, List.of(0L, 3L, 4L))),
                        new KeyReport.Heavy(2, 9, List.of(new KeyReport.Heavy.Count(84, "radio", 11)))),
                List.of(new DaemonReport.Server("s1", "east", 3), new DaemonReport.Server("s2", "west", -1)),
                Map.of("3", new ServiceTimes.Seen(List.of(sum), Map.of(42L, sum))),
                new AnswerLevels(1L << 58, sum, new ServiceTimes.Sum(1, 0.5, 0.25), Map.of(42L, sum)));
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

    static Gossip gossip() {
        return new Gossip(
                "north",
                "fleet-1",
                1,
                NOW_MS,
                List.of(
                        new Member("fleet-1", NOW_MS, Member.Standing.ALIVE),
                        new Member("fleet-2", 4, Member.Standing.SUSPECT)),
                77,
                5,
                true);
    }

    static Gossip.Answer gossipAnswer() {
        return new Gossip.Answer(
                "fleet-2",
                9,
                List.of(
                        new Member("fleet-1", NOW_MS, Member.Standing.DEAD),
                        new Member("fleet-2", 9, Member.Standing.LEFT)),
                77,
                6,
                true,
                List.of(report()),
                NOW_MS << 16 | 1,
                table());
    }
}
