package peppergauge.fleet.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.fleet.disk.KeptFile;
import peppergauge.fleet.disk.KeptState;
import peppergauge.fleet.disk.KeptVersions;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.Gossip;
import peppergauge.fleet.wire.Json;
import peppergauge.fleet.wire.ReportAnswer;
import peppergauge.fleet.wire.TableAnswer;
import peppergauge.promises.control.ControllerState;
import peppergauge.snapshot.storage.PosixFileSystem;

/** Files and messages in the formats of revision e30269d are read, and messages are written in the same form. */
public class StoredDataTest {

    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("stored");
        for (String file : List.of("fleet-1-state.snapshot", "fleet-1-versions.snapshot")) {
            Files.write(folder.resolve(file), stored(file));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private static byte[] stored(String file) throws IOException {
        try (InputStream in = StoredDataTest.class.getResourceAsStream("/stored/" + file)) {
            return in.readAllBytes();
        }
    }

    private <T> T read(String what, Class<T> type) throws IOException {
        List<String> log = new ArrayList<>();
        try (KeptFile<T> file = new KeptFile<>(new PosixFileSystem(), folder, "fleet-1", what, type)) {
            T value = file.read(log::add).orElseThrow(() -> new AssertionError(log));
            assertTrue(log.isEmpty(), log.toString());
            return value;
        }
    }

    @Test
    public void readsVersionsFile() throws IOException {
        assertEquals(read("versions", KeptVersions.class).through(), StoredDataWriter.NOW_MS << 16 | 1);
    }

    @Test
    public void readsStateFile() throws IOException {
        KeptState state = read("state", KeptState.class);
        assertEquals(state.reports(), List.of(StoredDataWriter.report()));
        assertEquals(state.totals(), StoredDataWriter.state().totals());
        var total = state.tally().get(StoredDataWriter.CELL);
        assertEquals(state.tally().size(), 1);
        assertEquals(total.answered(), 32);
        assertEquals(total.denied(), 3);
        assertEquals(total.failed(), 1);
        assertEquals(total.latency(), StoredDataWriter.latency());
        assertEquals(Json.read(state.planner(), ControllerState.class), StoredDataWriter.steering());
        assertEquals(Json.read(state.forecasts(), KeptScores.class), StoredDataWriter.scores());
        assertSameJson(Json.write(StoredDataWriter.steering()), state.planner());
        assertSameJson(Json.write(StoredDataWriter.scores()), state.forecasts());
    }

    @Test
    public void readsAndWritesMessages() throws IOException {
        assertEquals(Json.read(stored("report.json"), DaemonReport.class), StoredDataWriter.report());
        assertEquals(
                Json.read(stored("report-answer.json"), ReportAnswer.class), new ReportAnswer("taken", 5_000, 6_000));
        assertEquals(
                Json.read(stored("table-answer.json"), TableAnswer.class),
                new TableAnswer(StoredDataWriter.table(), 6_000));
        assertEquals(Json.read(stored("gossip.json"), Gossip.class), StoredDataWriter.gossip());
        assertEquals(Json.read(stored("gossip-answer.json"), Gossip.Answer.class), StoredDataWriter.gossipAnswer());
        assertSameJson(Json.write(StoredDataWriter.report()), stored("report.json"));
        assertSameJson(Json.write(new ReportAnswer("taken", 5_000, 6_000)), stored("report-answer.json"));
        assertSameJson(Json.write(new TableAnswer(StoredDataWriter.table(), 6_000)), stored("table-answer.json"));
        assertSameJson(Json.write(StoredDataWriter.gossip()), stored("gossip.json"));
        assertSameJson(Json.write(StoredDataWriter.gossipAnswer()), stored("gossip-answer.json"));
    }

    private static void assertSameJson(byte[] written, byte[] stored) throws IOException {
        ObjectMapper trees = new ObjectMapper();
        assertEquals(trees.readTree(written), trees.readTree(stored));
    }
}
