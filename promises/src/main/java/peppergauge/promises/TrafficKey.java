package peppergauge.promises;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Key by which requests are counted: a tenant, a request class and the zone that responded.
 *
 * @param tenant name of the tenant; {@code station} in JSON
 * @param requestClass name of the request class
 * @param zone name of the zone, or {@link #NO_ZONE}
 */
public record TrafficKey(@JsonProperty("station") String tenant, String requestClass, String zone) {

    /** Zone of requests that no server answered: rejected or failed before any was reached. */
    public static final String NO_ZONE = "";
}
