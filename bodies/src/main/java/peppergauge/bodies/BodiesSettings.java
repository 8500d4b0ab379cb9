package peppergauge.bodies;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import peppergauge.bodies.ledger.StorageLimits;

/**
 * The settings of large bodies, as an operator file sets them.
 *
 * @param maxRequestBytes the longest request body
 * @param maxResponseBytes the longest response body
 * @param maxWindowBytes the largest receive window of one flow
 * @param totalWindowBytes the receive windows of all flows together
 * @param socketBufferBytes the size of the kernel's buffers for a body, per direction; 0 leaves them at their default
 * @param storage limits of the storage for retries
 * @param directory for files; empty to use none
 * @param bufferedOnlyClasses names of request classes whose bodies are rejected if they cannot be buffered
 * @param minBytesPerS bytes per second that a side must move while the flow waits for it
 * @param stallWindow the time over which that rate is measured
 * @param shutdownGrace how long bodies in transit may take to complete at a graceful shutdown
 */
public record BodiesSettings(
        long maxRequestBytes,
        long maxResponseBytes,
        long maxWindowBytes,
        long totalWindowBytes,
        int socketBufferBytes,
        StorageLimits storage,
        Optional<Path> directory,
        List<String> bufferedOnlyClasses,
        long minBytesPerS,
        Duration stallWindow,
        Duration shutdownGrace) {

    public BodiesSettings {
        bufferedOnlyClasses = List.copyOf(bufferedOnlyClasses);
    }
}
