package peppergauge.lab.plugin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import peppergauge.plugin.abi.SessionView;
import peppergauge.plugin.box.Box;
import peppergauge.plugin.box.Capability;
import peppergauge.plugin.box.Compiled;
import peppergauge.plugin.box.Counters;
import peppergauge.plugin.box.Fault;
import peppergauge.plugin.box.Host;
import peppergauge.plugin.box.Limits;
import peppergauge.plugin.box.Store;
import peppergauge.plugin.box.Unusable;
import peppergauge.plugin.crew.Crew;
import peppergauge.plugin.crew.Guard;
import peppergauge.plugin.crew.Job;
import peppergauge.plugin.crew.Times;
import peppergauge.plugin.rules.Verdict;

/** A plug-in in its box, without a sidecar; by the defaults of the file but for the budget, which is a second. */
public final class Trial implements AutoCloseable {

    private static final int MOST_BYTES = 1 << 20;
    /** Above the usual 5 ms: what is measured here is told, not stopped, also on a busy machine. */
    private static final Times TIMES = new Times(1, 32, 256 << 10, 1_000, 1_000);

    private final Counters counters = new Counters();
    private final Guard guard = new Guard();
    private final Crew crew;

    /** A call's outcome; {@code verdict} is null if it failed, and then {@code fault} says why. */
    public record Outcome(Verdict verdict, String fault, double tookMs) {}

    /**
     * @param log takes its lines
     * @throws Unusable saying why the module is not taken
     */
    public Trial(
            Path file,
            Set<Capability> granted,
            Map<String, String> settings,
            boolean interpreted,
            java.util.function.Consumer<String> log)
            throws Unusable, InterruptedException {
        SplittableRandom random = new SplittableRandom(1);
        Host host = new Host(settings, System::currentTimeMillis, random::nextLong, counters, new Store(1 << 16), log);
        try (InputStream in = Files.newInputStream(file)) {
            Compiled compiled =
                    Compiled.of(in.readNBytes(MOST_BYTES + 1), granted, new Limits(64, MOST_BYTES, interpreted));
            crew = new Crew("trial", compiled, host, TIMES, guard);
            crew.start();
        } catch (IOException unreadable) {
            throw new Unusable("cannot be read");
        } catch (Fault fault) {
            throw new Unusable(fault.getMessage());
        }
    }

    /** Waits for the verdict. */
    public Outcome ask(SessionView session) {
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        crew.offer(new Asking(box -> box.onSession(session), outcome));
        return outcome.join();
    }

    /** How long each of so many calls took, ns, one after another on one thread; a failure ends it. */
    public List<Long> time(SessionView session, int calls) throws Unusable {
        List<Long> times = new ArrayList<>(calls);
        // In lots, each well within the budget.
        while (times.size() < calls) {
            CompletableFuture<Outcome> outcome = new CompletableFuture<>();
            crew.offer(new Asking(
                    box -> {
                        long endNs = System.nanoTime() + 1_000_000;
                        Verdict verdict = null;
                        for (long now = System.nanoTime(); now < endNs && times.size() < calls; ) {
                            verdict = box.onSession(session);
                            long next = System.nanoTime();
                            times.add(next - now);
                            now = next;
                        }
                        return verdict;
                    },
                    outcome));
            if (outcome.join().fault() != null) {
                throw new Unusable(outcome.join().fault());
            }
        }
        return times;
    }

    private interface Call {
        Verdict on(Box box) throws Fault;
    }

    private static final class Asking implements Job {

        private final Call call;
        private final CompletableFuture<Outcome> outcome;
        private Verdict verdict;

        Asking(Call call, CompletableFuture<Outcome> outcome) {
            this.call = call;
            this.outcome = outcome;
        }

        @Override
        public void run(Box box) throws Fault {
            verdict = call.on(box);
        }

        @Override
        public void ended(double tookMs) {
            outcome.complete(new Outcome(verdict, null, tookMs));
        }

        @Override
        public void failed(String why, double tookMs) {
            outcome.complete(new Outcome(null, why, tookMs));
        }
    }

    public Map<String, Long> counters() {
        return counters.all();
    }

    @Override
    public void close() {
        crew.retire();
        guard.close();
    }
}
