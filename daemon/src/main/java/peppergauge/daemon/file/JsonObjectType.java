package peppergauge.daemon.file;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import peppergauge.operator.RawValue;
import peppergauge.operator.Type;
import peppergauge.settings.JsonTree;

/** Type of a string that contains a JSON object, in the format of the sidecar's configuration file. */
final class JsonObjectType implements Type<Map<String, Object>> {

    @Override
    public Optional<Map<String, Object>> read(RawValue value) {
        if (value.value() instanceof String text) {
            try {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                return Optional.of(JsonTree.parse(bytes, 0, bytes.length));
            } catch (IllegalArgumentException malformed) {
                value.reject(allowed() + ", and this is " + malformed.getMessage());
                return Optional.empty();
            }
        }
        value.reject(allowed());
        return Optional.empty();
    }

    @Override
    public String allowed() {
        return "a JSON object in a text";
    }
}
