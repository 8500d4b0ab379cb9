package peppergauge.fleet.client;

import java.util.List;
import peppergauge.fleet.table.LeasedTable;

/**
 * Configuration of the client, section {@code [fleet]} of a daemon's file.
 *
 * @param site name of the deployment
 * @param addresses of the instances, {@code host:port} each
 * @param appliesTables whether tables are polled and applied
 * @param initialIntervalMs interval of reports and polls until the service sends others, ms
 * @param maxIntervalMs longest interval and backoff, ms
 * @param timeoutMs timeout of connections and reads, ms
 * @param tableLimits limits on accepted tables
 * @param maxSampledKeys as {@link SampledKeyStatistics#of} takes it
 */
public record FleetClientConfig(
        String site,
        List<String> addresses,
        boolean appliesTables,
        long initialIntervalMs,
        long maxIntervalMs,
        long timeoutMs,
        LeasedTable.Limits tableLimits,
        int maxSampledKeys) {}
