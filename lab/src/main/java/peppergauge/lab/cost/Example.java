package peppergauge.lab.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import peppergauge.settings.JsonTree;

/** The example's configuration, which the measured sidecar gets too. */
final class Example {

    private Example() {}

    /** Tenants get a share without end: what goes beyond a share is denied, and a denial is cheap. */
    static Map<String, Object> read(Path checkout) throws IOException {
        byte[] bytes = Files.readAllBytes(checkout.resolve("example").resolve("config.json"));
        Map<String, Object> example = JsonTree.parse(bytes, 0, bytes.length);
        for (Object tenant : (List<?>) settings(example).get("tenants")) {
            object(tenant).put("quotaPerS", 1_000_000);
        }
        return example;
    }

    static Map<String, Object> settings(Map<String, Object> example) {
        return object(example.get("settings"));
    }

    static String zone(Map<String, Object> example) {
        return (String) ((List<?>) settings(example).get("areas")).get(0);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }
}
