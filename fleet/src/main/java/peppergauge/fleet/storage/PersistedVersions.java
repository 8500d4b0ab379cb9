package peppergauge.fleet.storage;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Reservation of table versions, as stored.
 *
 * @param highestReserved highest version that may have been issued; {@code through} in JSON
 */
public record PersistedVersions(@JsonProperty("through") long highestReserved) {}
