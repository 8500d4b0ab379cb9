package peppergauge.bodies;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import peppergauge.bodies.ledger.StorageLimits;
import peppergauge.bodies.spool.Spool;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.request.BodyStream;
import peppergauge.request.BodyWriter;
import peppergauge.request.IncomingRequest;
import peppergauge.request.LargeBodies;
import peppergauge.request.ManualEventLoop;
import peppergauge.request.Message;

/**
 * Random interleavings of receiving, reading, retrying, aborting, disk work, time and a full disk. Each reader gets the
 * bytes that were sent, up to the last one or a visible abort; all storage is released at the end; and bodies without
 * failures are read completely.
 */
class BodyPropertiesTest {

    private static final int STEPS = 600;
    private static final int MAX_BODY_BYTES = 200_000;
    private static final StorageLimits LIMITS =
            new StorageLimits(MAX_BODY_BYTES, 40_000, 120_000, 100_000, 300_000, 4, 0.6);
    private static final RequestClass REQUEST_CLASS =
            new RequestClass(100, 1_000, 1, 0.5, Idempotency.IDEMPOTENT, KeyScope.ALL, 0);

    /** The event loop and the tasks of the disk thread, all run by the test. */
    private static final class ManualLoopWithDisk extends ManualEventLoop {

        private final Deque<Runnable> diskTasks = new ArrayDeque<>();

        ManualLoopWithDisk() {
            super(0);
        }

        void advanceBy(double ms) {
            double untilMs = nowMs() + ms;
            for (Runnable task = advanceToNextTask(untilMs); task != null; task = advanceToNextTask(untilMs)) {
                task.run();
            }
        }

        void runAllTasks() {
            while (!tasks.isEmpty() || !diskTasks.isEmpty()) {
                if (!diskTasks.isEmpty()) {
                    diskTasks.poll().run();
                }
                runTasks();
            }
        }
    }

    /** A body with its sender and its reader. */
    private static final class Body implements LargeBodies.Upload {

        private final byte[] bytes;
        private final boolean declaresLength;
        private BodyWriter writer;
        private int sent;
        private int capacity;
        private boolean completed;
        private boolean cancelled;
        private boolean ready;
        private boolean rejected;
        private BodyStream.Reader reading;
        private int read;
        private int completeReadings;

        Body(int length, boolean declaresLength) {
            bytes = new byte[length];
            new Random(length).nextBytes(bytes);
            this.declaresLength = declaresLength;
        }

        @Override
        public void grantCapacity(int newCapacity) {
            assertFalse(cancelled && newCapacity > 0 && completed);
            capacity = newCapacity;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public void onReady() {
            assertFalse(ready || rejected, "ready at most once, and not after a rejection");
            ready = true;
        }

        @Override
        public void onRejected(LargeBodies.Rejection reason, double retryAfterMs) {
            assertFalse(rejected);
            rejected = true;
        }

        boolean hasEnded() {
            return rejected || cancelled;
        }

        void send(int maxBytes) {
            int part = Math.min(Math.min(maxBytes, capacity), bytes.length - sent);
            if (writer == null || hasEnded() || completed) {
                return;
            }
            if (part > 0) {
                capacity -= part;
                ByteBuffer more = ByteBuffer.wrap(bytes, sent, part);
                sent += part;
                writer.write(more);
                assertFalse(more.hasRemaining());
            }
            if (sent == bytes.length && !hasEnded()) {
                completed = true;
                writer.complete();
            }
        }

        void startReading() {
            if (ready && writer != null && writer.stream().isReadableFromStart()) {
                read = 0;
                reading = writer.stream().openReader(() -> {});
            }
        }

        void read(int maxBytes) throws IOException {
            if (reading == null || reading.end() != null) {
                return;
            }
            int[] left = {maxBytes};
            reading.transferTo(part -> {
                int taken = Math.min(left[0], part.remaining());
                byte[] got = new byte[taken];
                part.get(got);
                assertArrayEquals(Arrays.copyOfRange(bytes, read, read + taken), got, "bytes read from offset " + read);
                read += taken;
                left[0] -= taken;
                return taken;
            });
            if (reading.end() == BodyStream.End.COMPLETE) {
                assertEquals(bytes.length, read, "bytes read by a complete reading");
                completeReadings++;
            }
        }
    }

    private static SpoolingLargeBodies newLargeBodies(ManualLoopWithDisk loop, InMemoryDisk disk) {
        BodiesSettings settings = new BodiesSettings(
                MAX_BODY_BYTES,
                MAX_BODY_BYTES,
                32 << 10,
                256 << 10,
                0,
                LIMITS,
                Optional.of(Path.of("fake")),
                List.of("kept"),
                100,
                Duration.ofMillis(1_000),
                Duration.ZERO);
        return new SpoolingLargeBodies(
                settings,
                List.of(REQUEST_CLASS, REQUEST_CLASS),
                List.of("any", "kept"),
                new Limits(4, false, true, false, true, 1_000, false, 500),
                loop,
                loop,
                new Spool(disk, loop::execute, loop.diskTasks::add, () -> {}));
    }

    private static Body open(SpoolingLargeBodies largeBodies, Random random) {
        int length =
                random.nextInt(10) == 0 ? MAX_BODY_BYTES + 1 : random.nextInt(3) * 16_384 + random.nextInt(130_000);
        Body body = new Body(length, random.nextBoolean());
        body.writer = largeBodies.openRequestBody(
                new IncomingRequest(
                        "t",
                        random.nextInt(2),
                        random.nextInt(3),
                        900,
                        false,
                        0,
                        new Message("POST", "/k", List.of(), new byte[0])),
                body.declaresLength ? length : -1,
                body);
        return body;
    }

    private static long report(ManualLoopWithDisk loop, SpoolingLargeBodies largeBodies, String key) {
        var report = largeBodies.report();
        loop.runTasks();
        Map<String, Object> values = report.join();
        return ((Number) values.get(key)).longValue();
    }

    @Property(tries = 250, seed = "5")
    void bodyIsUnchangedOrRejectedOrAborted(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        ManualLoopWithDisk loop = new ManualLoopWithDisk();
        InMemoryDisk disk = new InMemoryDisk(Long.MAX_VALUE);
        SpoolingLargeBodies largeBodies = newLargeBodies(loop, disk);
        List<Body> bodies = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            if (bodies.isEmpty() || bodies.size() < 12 && random.nextInt(20) == 0) {
                bodies.add(open(largeBodies, random));
            }
            Body body = bodies.get(random.nextInt(bodies.size()));
            switch (random.nextInt(14)) {
                case 0, 1, 2, 3 -> body.send(1 + random.nextInt(30_000));
                case 4, 5 -> body.read(random.nextInt(40_000));
                case 6 -> body.startReading();
                case 7, 8 -> {
                    if (!loop.diskTasks.isEmpty()) {
                        loop.diskTasks.poll().run();
                    }
                }
                case 9 -> loop.runTasks();
                case 10 -> loop.advanceBy(random.nextInt(120));
                case 11 -> disk.setFreeBytes(random.nextInt(4) == 0 ? random.nextInt(50_000) : Long.MAX_VALUE);
                case 12 -> {
                    if (random.nextInt(3) == 0 && body.reading != null) {
                        body.reading.cancel();
                    }
                }
                default -> {
                    if (random.nextInt(6) == 0 && body.writer != null) {
                        body.writer.abort();
                        body.cancelled = true;
                        body.writer.stream().release();
                    }
                }
            }
            assertTrue(report(loop, largeBodies, "memory") <= LIMITS.memoryBytes());
            assertTrue(report(loop, largeBodies, "files") <= LIMITS.fileBytes());
            bodies.removeIf(Body::hasEnded);
        }
        bodies.stream().filter(body -> body.writer != null).forEach(body -> body.writer.abort());
        loop.runAllTasks();
        for (String sum : List.of("open", "kept", "memory", "files")) {
            assertEquals(0, report(loop, largeBodies, sum), sum);
        }
        assertEquals(0, disk.openFiles.get(), "open files");
    }

    /** Without failures or stalls, each accepted body is read completely, and those still readable a second time. */
    @Property(tries = 120, seed = "6")
    void bodiesWithoutFailuresAreReadCompletely(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        ManualLoopWithDisk loop = new ManualLoopWithDisk();
        SpoolingLargeBodies largeBodies = newLargeBodies(loop, new InMemoryDisk(Long.MAX_VALUE));
        List<Body> bodies = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            bodies.add(open(largeBodies, random));
        }
        for (int round = 0; round < 4_000; round++) {
            for (Body body : bodies) {
                body.send(1 + random.nextInt(20_000));
                if (body.reading == null) {
                    body.startReading();
                }
                body.read(random.nextInt(20_000));
                if (body.completeReadings == 1 && body.writer.stream().isReadableFromStart()) {
                    body.completeReadings++;
                    body.startReading();
                }
            }
            loop.runAllTasks();
        }
        for (Body body : bodies) {
            assertTrue(
                    body.rejected || body.completeReadings > 0 && body.reading.end() == BodyStream.End.COMPLETE,
                    body.bytes.length + " bytes, " + body.sent + " sent, " + body.read + " read");
            assertTrue(body.rejected || body.ready);
        }
    }
}
