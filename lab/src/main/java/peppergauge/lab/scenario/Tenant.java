package peppergauge.lab.scenario;

import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * Section {@code [[tenant]]}: a tenant that requests are sent for.
 *
 * @param share share of the requests, relative to the shares of other tenants
 * @param quota requests per second over all sidecars beyond which requests are worth little; 0 for no limit
 */
public record Tenant(String name, double share, double quota) {

    static final Table TABLE = Table.repeated(
            "tenant",
            0,
            256,
            "Whom requests are asked for; without any, one.",
            Key.required("name", Types.name(), "\"station\"", "What entries refer to."),
            Key.preset("share", Types.number(0.0001, 1_000), "1", "Of the requests, against other tenants' shares."),
            Key.preset(
                    "quota",
                    Types.number(0, 1_000_000),
                    "0",
                    "Requests a second over all sidecars; what comes beyond is worth little. 0: no limit."));
}
