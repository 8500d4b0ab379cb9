package peppergauge.fleet.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import peppergauge.promises.ZoneWeights;

/**
 * A table of zone weights with a lease, as published to daemons.
 *
 * @param site name of the deployment; daemons of another one reject it
 * @param version greater with each table; daemons reject older ones
 * @param issuedMs Unix time by the issuer's clock, ms
 * @param leaseMs time for which the table is valid, ms; afterwards a daemon uses neutral weights
 * @param issuer name of the instance
 * @param weights zone weights of each tenant, valid during the lease; {@code steering} in JSON
 */
public record FleetTable(
        String site,
        long version,
        long issuedMs,
        long leaseMs,
        String issuer,
        @JsonProperty("steering") ZoneWeights weights) {}
