package peppergauge.frontend;

import java.util.List;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.settings.SettingsNames;

/** What the settings say of classes and tenants, by the names that requests use. */
public record RequestClassifier(SettingsNames names, List<RequestClass> classes) {

    /** The class that the first part of a path names, or -1. */
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

    /** A class that is safe to repeat is asked for with GET, any other with POST. */
    String methodOf(int requestClass) {
        return classes.get(requestClass).idempotency() == Idempotency.IDEMPOTENT ? "GET" : "POST";
    }

    /** Whether requests name a tenant: where the settings have none, clients send no such header. */
    boolean hasTenants() {
        return !names.tenants().isEmpty();
    }

    /** A tenant's number, or null. */
    Integer tenantOf(String name) {
        int tenant = names.tenants().indexOf(name);
        return tenant < 0 ? null : tenant;
    }
}
