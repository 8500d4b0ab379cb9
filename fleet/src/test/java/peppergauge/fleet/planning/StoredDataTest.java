package peppergauge.fleet.planning;

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
import peppergauge.fleet.storage.PersistedState;
import peppergauge.fleet.storage.PersistedVersions;
import peppergauge.fleet.storage.RecordFile;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.GossipRequest;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.fleet.wire.ReportResponse;
import peppergauge.fleet.wire.TableResponse;
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

    private <T> T read(String recordName, Class<T> type) throws IOException {
        List<String> log = new ArrayList<>();
        try (RecordFile<T> file = new RecordFile<>(new PosixFileSystem(), folder, "fleet-1", recordName, type)) {
            T value = file.read((path, reason) -> log.add(path + " is unusable: " + reason))
                    .orElseThrow(() -> new AssertionError(log));
            assertTrue(log.isEmpty(), log.toString());
            return value;
        }
    }

    @Test
    public void readsVersionsFile() throws IOException {
        assertEquals(read("versions", PersistedVersions.class).highestReserved(), StoredDataWriter.NOW_MS << 16 | 1);
    }

    @Test
    public void readsStateFile() throws IOException {
        PersistedState state = read("state", PersistedState.class);
        assertEquals(state.reports(), List.of(StoredDataWriter.report()));
        assertEquals(state.totals(), StoredDataWriter.state().totals());
        var total = state.totalsByKey().get(StoredDataWriter.TRAFFIC_KEY);
        assertEquals(state.totalsByKey().size(), 1);
        assertEquals(total.answered(), 32);
        assertEquals(total.rejected(), 3);
        assertEquals(total.failed(), 1);
        assertEquals(total.latency(), StoredDataWriter.latency());
        assertEquals(JsonCodec.read(state.plannerState(), ControllerState.class), StoredDataWriter.controllerState());
        assertEquals(JsonCodec.read(state.forecastState(), PersistedScores.class), StoredDataWriter.scores());
        assertSameJson(JsonCodec.write(StoredDataWriter.controllerState()), state.plannerState());
        assertSameJson(JsonCodec.write(StoredDataWriter.scores()), state.forecastState());
    }

    @Test
    public void readsAndWritesMessages() throws IOException {
        assertEquals(JsonCodec.read(stored("report.json"), DaemonReport.class), StoredDataWriter.report());
        assertEquals(
                JsonCodec.read(stored("report-answer.json"), ReportResponse.class),
                new ReportResponse("taken", 5_000, 6_000));
        assertEquals(
                JsonCodec.read(stored("table-answer.json"), TableResponse.class),
                new TableResponse(StoredDataWriter.table(), 6_000));
        assertEquals(JsonCodec.read(stored("gossip.json"), GossipRequest.class), StoredDataWriter.gossip());
        assertEquals(
                JsonCodec.read(stored("gossip-answer.json"), GossipRequest.Response.class),
                StoredDataWriter.gossipResponse());
        assertSameJson(JsonCodec.write(StoredDataWriter.report()), stored("report.json"));
        assertSameJson(JsonCodec.write(new ReportResponse("taken", 5_000, 6_000)), stored("report-answer.json"));
        assertSameJson(
                JsonCodec.write(new TableResponse(StoredDataWriter.table(), 6_000)), stored("table-answer.json"));
        assertSameJson(JsonCodec.write(StoredDataWriter.gossip()), stored("gossip.json"));
        assertSameJson(JsonCodec.write(StoredDataWriter.gossipResponse()), stored("gossip-answer.json"));
    }

    private static void assertSameJson(byte[] written, byte[] stored) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        assertEquals(mapper.readTree(written), mapper.readTree(stored));
    }
}
