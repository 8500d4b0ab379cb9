package peppergauge.bodies.spool;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/**
 * Stores bodies in files, which are written and read on the disk thread, so that a slow disk does not block the event
 * loop. The callers bound the amount of work that waits for the disk thread. Results are delivered on the event-loop
 * thread.
 */
public final class Spool implements Closeable {

    private final Disk disk;
    private final Executor eventLoop;
    private final Executor diskThread;
    private final Runnable stopDiskThread;

    /**
     * @param eventLoop runs the callbacks
     * @param diskThread runs all work on files, in the order of submission
     * @param stopDiskThread stops that executor
     */
    public Spool(Disk disk, Executor eventLoop, Executor diskThread, Runnable stopDiskThread) {
        this.disk = disk;
        this.eventLoop = eventLoop;
        this.diskThread = diskThread;
        this.stopDiskThread = stopDiskThread;
    }

    /** Creates a spool and starts its disk thread. */
    public static Spool start(Disk disk, Executor eventLoop) {
        ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "bodies");
            thread.setDaemon(true);
            return thread;
        });
        return new Spool(disk, eventLoop, executor, executor::shutdownNow);
    }

    /** The file of one body. Called on the event-loop thread; the work is done in the order of the calls. */
    public final class BodyFile {

        /** Null until the first bytes. Disk thread only. */
        private ChecksummedFile file;

        /** Why nothing can be appended any more. Disk thread only. */
        private IOException failure;

        /**
         * Appends bytes, which must not be changed any more.
         *
         * @param callback receives null when they are written, or why they are not
         */
        public void append(ByteBuffer bytes, Consumer<IOException> callback) {
            submit(
                    () -> {
                        IOException result = failure;
                        try {
                            if (result == null) {
                                file = file == null ? new ChecksummedFile(disk) : file;
                                file.append(bytes);
                            }
                        } catch (IOException unwritable) {
                            result = unwritable;
                            failure = unwritable;
                        }
                        IOException reported = result;
                        eventLoop.execute(() -> callback.accept(reported));
                    },
                    () -> callback.accept(new IOException("the spool is closed")));
        }

        /**
         * Reads a chunk.
         *
         * @param callback receives null if the chunk cannot be read or its checksum does not match
         */
        public void readChunk(int index, Consumer<ByteBuffer> callback) {
            submit(
                    () -> {
                        ByteBuffer chunk;
                        try {
                            chunk = file.readChunk(index);
                        } catch (IOException unusable) {
                            chunk = null;
                        }
                        ByteBuffer result = chunk;
                        eventLoop.execute(() -> callback.accept(result));
                    },
                    () -> callback.accept(null));
        }

        /** Closes the file, which frees its disk space, after the work submitted before. */
        public void close() {
            submit(
                    () -> {
                        failure = new IOException("the body was released");
                        if (file != null) {
                            file.close();
                        }
                    },
                    () -> {});
        }
    }

    /** Returns a file for one body. It is created on disk with its first bytes. */
    public BodyFile newFile() {
        return new BodyFile();
    }

    private interface FileTask {
        void run() throws IOException;
    }

    private void submit(FileTask task, Runnable onClosed) {
        try {
            diskThread.execute(() -> {
                try {
                    task.run();
                } catch (IOException ignored) {
                    // Only a failed close is thrown to here. The file is unlinked, and its descriptor is released.
                }
            });
        } catch (RejectedExecutionException closed) {
            eventLoop.execute(onClosed);
        }
    }

    /** Stops the disk thread; work that waits for it is not done any more. */
    @Override
    public void close() {
        stopDiskThread.run();
    }
}
