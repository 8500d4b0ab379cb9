package peppergauge.thrift.method;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The configured methods by name, and the tenants of the settings. Immutable. */
public final class MethodRegistry {

    private final Map<String, MethodConfig> methodsByName;
    private final List<String> tenants;

    /**
     * @param tenants in the order of the settings; if empty, any tenant name is accepted
     * @throws IllegalStateException if two methods have the same name
     */
    public MethodRegistry(List<MethodConfig> methods, List<String> tenants) {
        this.methodsByName = methods.stream().collect(Collectors.toMap(MethodConfig::name, Function.identity()));
        this.tenants = List.copyOf(tenants);
    }

    public Optional<MethodConfig> find(String methodName) {
        return Optional.ofNullable(methodsByName.get(methodName));
    }

    /** The index of a tenant in the settings; -1 if the name is unknown. */
    int tenantIndex(String tenantName) {
        return tenants.isEmpty() ? 0 : tenants.indexOf(tenantName);
    }
}
