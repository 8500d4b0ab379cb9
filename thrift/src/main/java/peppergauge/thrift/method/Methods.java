package peppergauge.thrift.method;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** All methods that are served. */
public final class Methods {

    private final Map<String, Method> byName;
    private final List<String> tenants;

    /**
     * @param tenants the settings' names, in their order; none means that any name will do
     * @throws IllegalStateException if two methods have one name
     */
    public Methods(List<Method> methods, List<String> tenants) {
        this.byName = methods.stream().collect(Collectors.toMap(Method::name, Function.identity()));
        this.tenants = List.copyOf(tenants);
    }

    public Optional<Method> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** A tenant's number; -1 if there is none of this name. */
    int tenantOf(String name) {
        return tenants.isEmpty() ? 0 : tenants.indexOf(name);
    }
}
