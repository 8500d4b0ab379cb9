package peppergauge.plugin.crew;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import peppergauge.plugin.box.Box;
import peppergauge.plugin.box.Compiled;
import peppergauge.plugin.box.Fault;
import peppergauge.plugin.box.Host;

/**
 * The few threads of one plug-in, each with an instance of its own. An instance whose call failed is thrown away and
 * made anew before its thread takes the next call. One plug-in's calls never wait for another's.
 */
public final class Crew {

    private static final long IDLE_MS = 200;

    private final String name;
    private final Compiled compiled;
    private final Host host;
    private final Times times;
    private final Guard guard;
    private final BlockingQueue<Job> queue;
    private final List<Thread> threads = new ArrayList<>();
    private final CountDownLatch gone;
    private volatile boolean retired;

    /** No thread runs before {@link #start}. */
    public Crew(String name, Compiled compiled, Host host, Times times, Guard guard) {
        this.name = name;
        this.compiled = compiled;
        this.host = host;
        this.times = times;
        this.guard = guard;
        queue = new ArrayBlockingQueue<>(times.queue());
        gone = new CountDownLatch(times.threads());
    }

    /**
     * Starts the threads and waits until each has its instance, so that no session pays for one.
     *
     * @throws Fault if one cannot be made; the threads end then
     */
    public void start() throws Fault, InterruptedException {
        List<CompletableFuture<String>> starts = new ArrayList<>();
        for (int i = 0; i < times.threads(); i++) {
            CompletableFuture<String> started = new CompletableFuture<>();
            starts.add(started);
            Thread thread = new Thread(null, () -> work(started), "plugin-" + name + "-" + i, times.stackBytes());
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
        for (CompletableFuture<String> started : starts) {
            String fault = started.join();
            if (!fault.isEmpty()) {
                retire();
                throw new Fault(fault);
            }
        }
    }

    /** Whether there was room for the call; from any thread, never waits. */
    public boolean offer(Job job) {
        return !retired && queue.offer(job);
    }

    /** The threads end once all calls are done that were taken. */
    public void retire() {
        retired = true;
    }

    /** Whether all threads have ended within this time. */
    public boolean awaitEnd(long ms) throws InterruptedException {
        return gone.await(ms, TimeUnit.MILLISECONDS);
    }

    public int queued() {
        return queue.size();
    }

    private void work(CompletableFuture<String> started) {
        Guard.Watch watch = guard.watch();
        try {
            Box box = null;
            try {
                box = fresh(watch);
                started.complete("");
            } catch (Fault fault) {
                started.complete(fault.getMessage());
                return;
            }
            while (true) {
                Job job = queue.poll(IDLE_MS, TimeUnit.MILLISECONDS);
                if (job != null) {
                    box = run(job, box, watch);
                } else if (retired) {
                    return;
                }
            }
        } catch (InterruptedException interrupted) {
            // Only this class's guard interrupts these threads, and only in calls: the program ends.
            Thread.currentThread().interrupt();
        } finally {
            guard.forget(watch);
            gone.countDown();
        }
    }

    /** The instance for the next call; null if the last one was lost and none could be made. */
    private Box run(Job job, Box had, Guard.Watch watch) {
        if (job.withdrawn()) {
            return had;
        }
        Box box = had;
        String fault = null;
        long startNs = System.nanoTime();
        if (box == null) {
            try {
                box = fresh(watch);
            } catch (Fault broken) {
                job.failed("no instance: " + broken.getMessage(), (System.nanoTime() - startNs) / 1e6);
                return null;
            }
            startNs = System.nanoTime();
        }
        watch.begin((long) (times.callMs() * 1e6));
        try {
            job.run(box);
        } catch (Fault broken) {
            fault = broken.getMessage();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError bug) {
            fault = bug.toString();
        }
        boolean stopped = watch.end();
        double tookMs = (System.nanoTime() - startNs) / 1e6;
        if (!stopped && fault == null) {
            job.ended(tookMs);
            return box;
        }
        job.failed(stopped ? "stopped after its budget of " + times.callMs() + " ms" : fault, tookMs);
        try {
            return retired && queue.isEmpty() ? null : fresh(watch);
        } catch (Fault broken) {
            return null;
        }
    }

    private Box fresh(Guard.Watch watch) throws Fault {
        watch.begin((long) (times.startMs() * 1e6));
        Box box = null;
        Fault fault = null;
        try {
            box = new Box(compiled, host);
        } catch (Fault broken) {
            fault = broken;
        }
        if (watch.end()) {
            throw new Fault("its start was stopped after " + times.startMs() + " ms");
        }
        if (fault != null) {
            throw fault;
        }
        return box;
    }
}
