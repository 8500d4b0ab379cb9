package peppergauge.frontend;

import java.util.List;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.settings.SettingsNames;

/**
 * Maps a request's path to its class and a tenant's name to its number, as the settings define them.
 *
 * @param classes in the order of their names in {@code names}
 */
public record RequestClassifier(SettingsNames names, List<RequestClass> classes) {

    /** The number of the class that the first part of a path names, or -1. */
    public int classOf(String target) {
        if (target == null || !target.startsWith("/")) {
            return -1;
        }
        int end = 1;
        while (end < target.length() && "/?".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        return names.classes().indexOf(target.substring(1, end));
    }

    /** The method of a class: GET if its requests are idempotent, else POST. */
    String methodOf(int requestClass) {
        return classes.get(requestClass).idempotency() == Idempotency.IDEMPOTENT ? "GET" : "POST";
    }

    /** Whether requests must name a tenant, which they do if the settings list any. */
    boolean hasTenants() {
        return !names.tenants().isEmpty();
    }

    /** A tenant's number, or null. */
    Integer tenantOf(String name) {
        int tenant = names.tenants().indexOf(name);
        return tenant < 0 ? null : tenant;
    }
}
