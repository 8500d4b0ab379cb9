package peppergauge.lab.plugin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import peppergauge.plugin.abi.LocalTime;
import peppergauge.plugin.abi.RequestView;
import peppergauge.request.Message;
import peppergauge.settings.JsonTree;

/** Reads requests from a file with one JSON object per line; each key may be left out. */
public final class RecordedRequests {

    private static final String DEFAULT_CLASS = "donation";
    private static final String DEFAULT_TENANT = "acme";
    private static final String DEFAULT_METHOD = "POST";
    private static final String DEFAULT_PATH = "/donation/k";
    private static final double DEFAULT_REMAINING_MS = 500;

    private RecordedRequests() {}

    /** @throws IllegalArgumentException if the file cannot be read, or with the number of a malformed request */
    public static List<RequestView> read(Path file, ZoneId zone) {
        List<RequestView> requests = new ArrayList<>();
        try {
            for (String line : Files.readAllLines(file)) {
                if (!line.isBlank()) {
                    byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
                    requests.add(request(JsonTree.parse(bytes, 0, bytes.length), zone));
                }
            }
        } catch (IOException unreadable) {
            throw new IllegalArgumentException(file + ": cannot be read: " + unreadable, unreadable);
        } catch (IllegalArgumentException | DateTimeParseException malformed) {
            throw new IllegalArgumentException(file + ":" + (requests.size() + 1) + ": " + malformed.getMessage());
        }
        return requests;
    }

    private static RequestView request(Map<String, Object> line, ZoneId zone) {
        List<Message.Field> headers = new ArrayList<>();
        if (line.get("headers") instanceof Map<?, ?> map) {
            map.forEach((name, value) -> headers.add(
                    new Message.Field(String.valueOf(name).toLowerCase(java.util.Locale.ROOT), String.valueOf(value))));
        }
        String path = text(line, "path", DEFAULT_PATH);
        String pathWithoutQuery = path.replaceAll("\\?.*", "");
        Instant at = Instant.parse(text(line, "at", Instant.now().toString()));
        return new RequestView(
                text(line, "class", DEFAULT_CLASS),
                text(line, "tenant", DEFAULT_TENANT),
                pathWithoutQuery.substring(pathWithoutQuery.lastIndexOf('/') + 1),
                text(line, "method", DEFAULT_METHOD),
                path,
                headers,
                number(line, "remaining_ms", DEFAULT_REMAINING_MS),
                (int) number(line, "body_bytes", 0),
                Boolean.TRUE.equals(line.get("client_retry")),
                LocalTime.of(at.toEpochMilli(), zone));
    }

    private static String text(Map<String, Object> line, String key, String defaultValue) {
        Object value = line.get(key);
        return value == null ? defaultValue : String.valueOf(value);
    }

    private static double number(Map<String, Object> line, String key, double defaultValue) {
        return line.get(key) instanceof Number value ? value.doubleValue() : defaultValue;
    }
}
