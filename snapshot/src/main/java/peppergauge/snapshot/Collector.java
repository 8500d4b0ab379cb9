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
 * Asks the owner thread for what the module learned, a piece at a time so that clients' work comes between. A server
 * table that changes meanwhile may leave a server out or name it twice; the later mention counts.
 */
final class Collector {

    /** Servers in a piece: some 50 us of the owner thread once the code is warm. */
    static final int PIECE = 64;

    private static final long LONGEST_WAIT_MS = 2_000;

    private final LoadBalancer module;
    private final Scheduler owner;
    private final DoubleSupplier clockMs;
    private final Function<String, String> addresses;
    /** The longest that the owner thread was kept, ns; its own thread's until read at the end. */
    private volatile long longestNs;

    /** What was learned and, by server id, where each server was. */
    record Collected(LearnedState learned, Map<String, String> addresses) {}

    /**
     * @param clockMs the module's clock
     * @param addresses asked on the owner thread
     */
    Collector(LoadBalancer module, Scheduler owner, DoubleSupplier clockMs, Function<String, String> addresses) {
        this.module = module;
        this.owner = owner;
        this.clockMs = clockMs;
        this.addresses = addresses;
    }

    /** @throws TimeoutException if the owner thread does not come to it, as when it has ended */
    Collected collect() throws InterruptedException, TimeoutException {
        Map<String, ServerStatistics> known = new HashMap<>();
        Map<String, String> where = new HashMap<>();
        LearnedState first = null;
        int from = 0;
        int servers = 0;
        do {
            LearnedState piece = piece(from, where);
            first = first == null ? piece : first;
            piece.servers().forEach(server -> known.put(server.server(), server));
            servers = piece.serverCount();
            from += PIECE;
        } while (from < servers);
        List<ServerStatistics> all = new ArrayList<>(known.values());
        return new Collected(new LearnedState(servers, first.cluster(), first.classes(), all), where);
    }

    private LearnedState piece(int from, Map<String, String> where) throws InterruptedException, TimeoutException {
        CompletableFuture<LearnedState> answer = new CompletableFuture<>();
        owner.execute(() -> {
            long start = System.nanoTime();
            try {
                LearnedState piece = module.exportState(clockMs.getAsDouble(), from, PIECE);
                for (ServerStatistics server : piece.servers()) {
                    where.put(server.server(), addresses.apply(server.server()));
                }
                answer.complete(piece);
            } catch (RuntimeException bug) {
                answer.completeExceptionally(bug);
            }
            longestNs = Math.max(longestNs, System.nanoTime() - start);
        });
        try {
            return answer.get(LONGEST_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException bug) {
            throw new IllegalStateException("the module could not be read", bug.getCause());
        }
    }

    long longestNs() {
        return longestNs;
    }
}
