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
 * Files of bodies, written and read by a thread of its own: a disk that takes its time must not hold up the loop. What
 * waits for that thread is bounded by who hands it in. Results are told on the owner's thread.
 */
public final class Spool implements Closeable {

    private final Disk disk;
    private final Executor owner;
    private final Executor thread;
    private final Runnable end;

    /**
     * @param owner runs what is told, on the owner's thread
     * @param thread runs what is asked, one after another
     * @param end ends that thread
     */
    public Spool(Disk disk, Executor owner, Executor thread, Runnable end) {
        this.disk = disk;
        this.owner = owner;
        this.thread = thread;
        this.end = end;
    }

    /** One with a thread of its own. */
    public static Spool start(Disk disk, Executor owner) {
        ExecutorService thread = Executors.newSingleThreadExecutor(task -> {
            Thread own = new Thread(task, "bodies");
            own.setDaemon(true);
            return own;
        });
        return new Spool(disk, owner, thread, thread::shutdownNow);
    }

    /** One body. The owner's thread calls; what it asks for is done in that order. */
    public final class Kept {

        /** Belongs to the spool's thread, as all in it does. */
        private KeptFile file;

        private IOException failed;

        /** Takes the bytes, which nobody may change any more, and tells why they are not kept; null if they are. */
        public void append(ByteBuffer bytes, Consumer<IOException> told) {
            run(
                    () -> {
                        IOException why = failed;
                        try {
                            if (why == null) {
                                file = file == null ? new KeptFile(disk) : file;
                                file.append(bytes);
                            }
                        } catch (IOException full) {
                            why = full;
                            failed = full;
                        }
                        IOException end = why;
                        owner.execute(() -> told.accept(end));
                    },
                    () -> told.accept(new IOException("the spool is closed")));
        }

        /** Reads a piece; null is told if it cannot be read, or is not what was written. */
        public void piece(int number, Consumer<ByteBuffer> told) {
            run(
                    () -> {
                        ByteBuffer piece;
                        try {
                            piece = file.piece(number);
                        } catch (IOException unusable) {
                            piece = null;
                        }
                        ByteBuffer found = piece;
                        owner.execute(() -> told.accept(found));
                    },
                    () -> told.accept(null));
        }

        /** Nothing of it is needed any more. */
        public void close() {
            run(
                    () -> {
                        failed = new IOException("not needed any more");
                        if (file != null) {
                            file.close();
                        }
                    },
                    () -> {});
        }
    }

    /** A body that has no file yet: it gets one with its first bytes. */
    public Kept keep() {
        return new Kept();
    }

    private interface Work {
        void run() throws IOException;
    }

    private void run(Work work, Runnable closed) {
        try {
            thread.execute(() -> {
                try {
                    work.run();
                } catch (IOException ignored) {
                    // Only closing ends here: the file has no name, and its descriptor is gone either way.
                }
            });
        } catch (RejectedExecutionException over) {
            owner.execute(closed);
        }
    }

    /** What waits is not done any more. */
    @Override
    public void close() {
        end.run();
    }
}
