package peppergauge.fleet.wire;

import peppergauge.promises.ZoneWeights;

/**
 * What the service hands out.
 *
 * @param site name of the deployment; a reader takes no other's
 * @param version greater with each table; a reader takes no older one
 * @param issuedMs Unix time by the issuer's clock, ms
 * @param leaseMs for how long it holds; after that a reader goes on as if it had never been told
 * @param issuer name of the instance
 */
public record FleetTable(String site, long version, long issuedMs, long leaseMs, String issuer, ZoneWeights steering) {}
