package peppergauge.lab.nomad;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counters of the API: requests by kind, bytes written, and peaks of load. Thread-safe. */
public final class ApiCounters {

    private final Map<String, AtomicLong> requests = new ConcurrentHashMap<>();
    private final Map<Long, AtomicInteger> perSecond = new ConcurrentHashMap<>();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicInteger queriesOpen = new AtomicInteger();
    private final AtomicInteger streamsOpen = new AtomicInteger();
    private final AtomicInteger mostQueries = new AtomicInteger();
    private final AtomicInteger mostStreams = new AtomicInteger();

    void asked(String kind) {
        requests.computeIfAbsent(kind, fresh -> new AtomicLong()).incrementAndGet();
        perSecond
                .computeIfAbsent(System.nanoTime() / 1_000_000_000L, fresh -> new AtomicInteger())
                .incrementAndGet();
    }

    void wrote(long count) {
        bytes.addAndGet(count);
    }

    void opened(boolean stream) {
        int open = (stream ? streamsOpen : queriesOpen).incrementAndGet();
        (stream ? mostStreams : mostQueries).accumulateAndGet(open, Math::max);
    }

    void closed(boolean stream) {
        (stream ? streamsOpen : queriesOpen).decrementAndGet();
    }

    /** Returns the number of requests by kind: list, stream, allocation, checks, node or other. */
    public Map<String, Long> requests() {
        Map<String, Long> all = new TreeMap<>();
        requests.forEach((kind, count) -> all.put(kind, count.get()));
        return all;
    }

    /** Returns the number of bytes written. */
    public long bytes() {
        return bytes.get();
    }

    /** Returns the maximum of requests in one second. */
    public int peakPerSecond() {
        return perSecond.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
    }

    /** Returns the maximum of list queries that were open at once. */
    public int mostQueries() {
        return mostQueries.get();
    }

    /** Returns the maximum of event streams that were open at once. */
    public int mostStreams() {
        return mostStreams.get();
    }
}
