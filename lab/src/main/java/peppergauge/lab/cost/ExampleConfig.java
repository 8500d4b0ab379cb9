package peppergauge.lab.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import peppergauge.settings.JsonTree;

/** Reads the example configuration that the measured sidecar gets. */
final class ExampleConfig {

    private static final int UNLIMITED_QUOTA_PER_S = 1_000_000;

    private ExampleConfig() {}

    /**
     * Reads the configuration and raises the quota of each tenant beyond any load, since requests over the quota are
     * rejected, and rejections cost less than forwarded requests.
     */
    static Map<String, Object> read(Path checkout) throws IOException {
        byte[] bytes = Files.readAllBytes(checkout.resolve("example").resolve("config.json"));
        Map<String, Object> example = JsonTree.parse(bytes, 0, bytes.length);
        for (Object tenant : (List<?>) settings(example).get("tenants")) {
            object(tenant).put("quotaPerS", UNLIMITED_QUOTA_PER_S);
        }
        return example;
    }

    static Map<String, Object> settings(Map<String, Object> example) {
        return object(example.get("settings"));
    }

    static String firstZone(Map<String, Object> example) {
        return (String) ((List<?>) settings(example).get("areas")).get(0);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }
}
