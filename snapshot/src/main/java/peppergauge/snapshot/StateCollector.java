package peppergauge.snapshot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LoadBalancer;
import peppergauge.request.Scheduler;

/**
 * Collects the load balancer's learned state on the owner thread, in tasks of a few servers each so that requests are
 * served in between. If the endpoint list changes between two tasks, a server may be missing or collected twice; the
 * later statistics replace the earlier ones.
 */
final class StateCollector {

    /** Servers collected in one task, which takes about 50 us of the owner thread. */
    static final int SERVERS_PER_TASK = 64;

    private static final long TASK_TIMEOUT_MS = 2_000;

    private final LoadBalancer loadBalancer;
    private final Scheduler owner;
    private final DoubleSupplier clockMs;
    private final Function<String, String> addresses;
    /** Duration of the longest task on the owner thread; written by that thread only. */
    private volatile long longestTaskNanos;

    /**
     * The collected state.
     *
     * @param state learned state
     * @param addresses addresses of the servers by server id
     */
    record CollectedState(LearnedState state, Map<String, String> addresses) {}

    /**
     * Creates a collector.
     *
     * @param owner scheduler of the owner thread
     * @param clockMs the load balancer's clock, ms
     * @param addresses returns the address of a server by its id; called on the owner thread
     */
    StateCollector(
            LoadBalancer loadBalancer, Scheduler owner, DoubleSupplier clockMs, Function<String, String> addresses) {
        this.loadBalancer = loadBalancer;
        this.owner = owner;
        this.clockMs = clockMs;
        this.addresses = addresses;
    }

    /**
     * Collects the whole state; blocks the calling thread.
     *
     * @throws TimeoutException if the owner thread does not run a task within {@value #TASK_TIMEOUT_MS} ms
     */
    CollectedState collect() throws InterruptedException, TimeoutException {
        Map<String, ServerStatistics> serversById = new HashMap<>();
        Map<String, String> addressesById = new HashMap<>();
        LearnedState firstPart = null;
        int from = 0;
        int serverCount = 0;
        do {
            LearnedState part = collectSome(from, addressesById);
            firstPart = firstPart == null ? part : firstPart;
            part.servers().forEach(server -> serversById.put(server.server(), server));
            serverCount = part.serverCount();
            from += SERVERS_PER_TASK;
        } while (from < serverCount);
        List<ServerStatistics> all = new ArrayList<>(serversById.values());
        return new CollectedState(
                new LearnedState(serverCount, firstPart.cluster(), firstPart.classes(), all), addressesById);
    }

    private LearnedState collectSome(int from, Map<String, String> addressesById)
            throws InterruptedException, TimeoutException {
        CompletableFuture<LearnedState> result = new CompletableFuture<>();
        owner.execute(() -> {
            long startNanos = System.nanoTime();
            try {
                LearnedState part = loadBalancer.exportState(clockMs.getAsDouble(), from, SERVERS_PER_TASK);
                for (ServerStatistics server : part.servers()) {
                    addressesById.put(server.server(), addresses.apply(server.server()));
                }
                result.complete(part);
            } catch (RuntimeException bug) {
                result.completeExceptionally(bug);
            }
            longestTaskNanos = Math.max(longestTaskNanos, System.nanoTime() - startNanos);
        });
        try {
            return result.get(TASK_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException bug) {
            throw new IllegalStateException("the load balancer failed to export its state", bug.getCause());
        }
    }

    long longestTaskNanos() {
        return longestTaskNanos;
    }
}
