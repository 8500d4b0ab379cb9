package peppergauge.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The names of request classes, tenants and zones, by their index in the load balancer's settings. Immutable. */
public record SettingsNames(List<String> classes, List<String> tenants, List<String> zones) {

    public SettingsNames {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        zones = List.copyOf(zones);
    }

    /** Reads the names from {@code params} of the JSON settings; absent lists are empty. */
    public static SettingsNames read(Map<String, Object> params) {
        return new SettingsNames(
                names(params.get("profiles")), names(params.get("tenants")), names(params.get("areas")));
    }

    private static List<String> names(Object list) {
        List<String> names = new ArrayList<>();
        if (list instanceof List<?> elements) {
            for (Object element : elements) {
                names.add(String.valueOf(element instanceof Map<?, ?> object ? object.get("name") : element));
            }
        }
        return names;
    }
}
