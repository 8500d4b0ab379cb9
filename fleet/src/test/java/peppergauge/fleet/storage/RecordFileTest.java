package peppergauge.fleet.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.fleet.Samples;
import peppergauge.snapshot.storage.PosixFileSystem;

/** Tests with truncated, damaged and foreign files; crashes during writes are covered by tests of module snapshot. */
public class RecordFileTest {

    private Path folder;
    private final List<String> log = new ArrayList<>();

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("fleet");
        log.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private RecordFile<PersistedVersions> file() throws IOException {
        return new RecordFile<>(new PosixFileSystem(), folder, "fleet-1", "versions", PersistedVersions.class);
    }

    private Optional<Long> read() throws IOException {
        try (RecordFile<PersistedVersions> file = file()) {
            return file.read((path, reason) -> log.add(path + " is not used: " + reason))
                    .map(PersistedVersions::highestReserved);
        }
    }

    @Test
    public void readsPreviousFileIfNewestIsTruncatedDamagedOrForeign() throws IOException {
        try (RecordFile<PersistedVersions> file = file()) {
            file.write(new PersistedVersions(1), 1);
            file.write(new PersistedVersions(2), 1);
        }
        Path newest = folder.resolve("fleet-1-versions.snapshot");
        byte[] whole = Files.readAllBytes(newest);
        for (int length = 0; length < whole.length; length += 40) {
            Files.write(newest, Arrays.copyOf(whole, length));
            assertEquals(read(), Optional.of(1L), "truncated to " + length + " bytes");
        }
        for (int at = 0; at < whole.length; at += 33) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x10;
            Files.write(newest, damaged);
            assertEquals(read(), Optional.of(1L), "damaged at byte " + at);
        }
        try (RecordFile<PersistedState> state =
                new RecordFile<>(new PosixFileSystem(), folder, "fleet-1", "state", PersistedState.class)) {
            state.write(
                    PersistedState.of(List.of(Samples.report(1, 1, 1, 1)), Map.of(), new byte[] {7}, new byte[] {8}),
                    1);
            PersistedState read = state.read((path, reason) -> log.add(path + " is not used: " + reason))
                    .orElseThrow();
            assertEquals(read.reports(), List.of(Samples.report(1, 1, 1, 1)));
            assertEquals(read.plannerState(), new byte[] {7});
            assertEquals(read.forecastState(), new byte[] {8});
        }
        Files.copy(folder.resolve("fleet-1-state.snapshot"), newest, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        log.clear();
        assertEquals(read(), Optional.of(1L));
        assertTrue(log.get(0).contains("file has another record type or format version"), log.toString());
        Files.delete(newest);
        Files.delete(folder.resolve("fleet-1-versions.snapshot.before"));
        assertEquals(read(), Optional.empty());
    }
}
