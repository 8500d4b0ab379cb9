package peppergauge.fleet.disk;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
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
import peppergauge.snapshot.disk.Disk;
import peppergauge.snapshot.disk.RealDisk;

/** An end at any operation of the disk, a full one, and files that are not ours. */
public class KeptFileTest {

    private Path folder;
    private final List<String> log = new ArrayList<>();

    @BeforeMethod
    public void make() throws IOException {
        folder = Files.createTempDirectory("fleet");
        log.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void remove() throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    /** A disk that works for so many operations; what is written at its end is half of it. */
    private static final class Failing {

        private int left;

        Disk disk(int operations) {
            left = operations;
            return wrapped(Disk.class, new RealDisk());
        }

        private <T> T wrapped(Class<T> type, Object real) {
            return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type},
                    (proxy, method, arguments) -> {
                        boolean free = method.getName().equals("close") || method.getName().equals("holds");
                        if (!free && left-- <= 0) {
                            if (method.getName().equals("write") && left == -1) {
                                ByteBuffer all = (ByteBuffer) arguments[0];
                                method.invoke(real, all.slice(0, all.remaining() / 2));
                            }
                            throw new IOException("No space left on device");
                        }
                        try {
                            Object result = method.invoke(real, arguments);
                            return result instanceof Disk.Sink ? wrapped(Disk.Sink.class, result) : result;
                        } catch (InvocationTargetException thrown) {
                            throw thrown.getCause();
                        }
                    }));
        }
    }

    private KeptFile<KeptVersions> file(Disk disk) throws IOException {
        return new KeptFile<>(disk, folder, "fleet-1", "versions", KeptVersions.class);
    }

    private Optional<Long> read() throws IOException {
        try (KeptFile<KeptVersions> file = file(new RealDisk())) {
            return file.read(log::add).map(KeptVersions::through);
        }
    }

    @Test
    public void anEndAtAnyOperationLeavesTheOldOrTheNewFile() throws IOException {
        boolean wholeOnce = false;
        for (int operations = 0; !wholeOnce; operations++) {
            try (KeptFile<KeptVersions> file = file(new RealDisk())) {
                file.write(new KeptVersions(1), 1);
            }
            boolean written = false;
            try (KeptFile<KeptVersions> file = file(new Failing().disk(operations))) {
                file.write(new KeptVersions(2), 1);
                written = true;
            } catch (IOException full) {
                // As planned.
            }
            long found = read().orElseThrow();
            assertTrue(found == 2 || !written && found == 1, operations + ": " + found);
            wholeOnce = written;
            assertTrue(operations < 30);
        }
    }

    @Test
    public void aTornFileAFileOfAnotherVersionAndAForeignOneGiveWayToTheOneBefore() throws IOException {
        try (KeptFile<KeptVersions> file = file(new RealDisk())) {
            file.write(new KeptVersions(1), 1);
            file.write(new KeptVersions(2), 1);
        }
        Path newest = folder.resolve("fleet-1-versions.snapshot");
        byte[] whole = Files.readAllBytes(newest);
        for (int length = 0; length < whole.length; length += 40) {
            Files.write(newest, Arrays.copyOf(whole, length));
            assertEquals(read(), Optional.of(1L), "cut at " + length);
        }
        for (int at = 0; at < whole.length; at += 33) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x10;
            Files.write(newest, damaged);
            assertEquals(read(), Optional.of(1L), "damaged at " + at);
        }
        try (KeptFile<KeptState> state = new KeptFile<>(new RealDisk(), folder, "fleet-1", "state",
                KeptState.class)) {
            state.write(KeptState.of(List.of(Samples.report(1, 1, 1, 1)), Map.of(), new byte[] {7}, new byte[] {8}),
                    1);
            KeptState read = state.read(log::add).orElseThrow();
            assertEquals(read.reports(), List.of(Samples.report(1, 1, 1, 1)));
            assertEquals(read.planner(), new byte[] {7});
            assertEquals(read.forecasts(), new byte[] {8});
        }
        Files.copy(folder.resolve("fleet-1-state.snapshot"), newest,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        log.clear();
        assertEquals(read(), Optional.of(1L));
        assertTrue(log.get(0).contains("of another kind or format"), log.toString());
        Files.delete(newest);
        Files.delete(folder.resolve("fleet-1-versions.snapshot.before"));
        assertEquals(read(), Optional.empty());
    }
}
