package peppergauge.plugin.executor;

/**
 * Size and time limits of an instance pool.
 *
 * @param threads number of threads, each with an instance of its own; at least 1
 * @param queueCapacity number of calls that may wait for a thread
 * @param stackBytes stack size of each thread, which limits the depth of function calls
 * @param callBudgetMs time that one call may take
 * @param startBudgetMs time that the start of an instance may take: its start function, abi_version and alloc
 */
public record PoolSettings(
        int threads, int queueCapacity, long stackBytes, double callBudgetMs, double startBudgetMs) {}
