package peppergauge.daemon.file;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import peppergauge.operator.Found;
import peppergauge.operator.Type;
import peppergauge.settings.JsonTree;

/** A JSON object in a text of several lines: what the platform's file has, unchanged. */
final class JsonText implements Type<Map<String, Object>> {

    @Override
    public Optional<Map<String, Object>> read(Found found) {
        if (found.value() instanceof String text) {
            try {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                return Optional.of(JsonTree.parse(bytes, 0, bytes.length));
            } catch (IllegalArgumentException malformed) {
                found.refuse(allowed() + ", and this is " + malformed.getMessage());
                return Optional.empty();
            }
        }
        found.refuse(allowed());
        return Optional.empty();
    }

    @Override
    public String allowed() {
        return "a JSON object in a text";
    }
}
