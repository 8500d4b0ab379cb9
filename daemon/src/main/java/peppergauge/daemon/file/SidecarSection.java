package peppergauge.daemon.file;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;
import peppergauge.config.Config;
import peppergauge.operator.Key;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Type;
import peppergauge.operator.Types;
import peppergauge.operator.Values;
import peppergauge.settings.JsonTree;

/** Schema of {@code [sidecar]}: the configuration that {@code serve} takes from GW_CONFIG. */
public final class SidecarSection implements Section {

    private static final Type<String> ADDRESS = Types.text(Pattern.compile("\\S{1,255}:\\d{1,5}"), "a text HOST:PORT");

    public static final Key<String> CONFIG = Key.optional(
            "config",
            Types.text(1, 4096),
            "\"example/config.json\"",
            "The JSON file that GW_CONFIG would name, from the directory of the start; other keys go before it.");
    public static final Key<String> NAME = Key.optional("name", Types.text(1, 200), "\"example\"", "Its name.");
    public static final Key<String> LISTEN =
            Key.optional("listen", ADDRESS, "\"127.0.0.1:8080\"", "Where clients connect.");
    public static final Key<String> DISCOVERY = Key.optional(
            "discovery", ADDRESS, "\"127.0.0.1:8500\"", "Where the server table is watched; moves on a reload.");
    public static final Key<String> SEED = Key.optional(
            "seed",
            Types.text(Pattern.compile("[0-9a-f]{1,16}"), "a text of up to 16 hexadecimal digits"),
            "\"8c1f30d27a5be964\"",
            "What random numbers are drawn from.");
    public static final Key<Long> SOCKETS =
            Key.optional("sockets", Types.wholeNumber(48, 1_000_000), "1024", "Sockets that may be open in all.");
    public static final Key<Map<String, Object>> KNOWN = Key.optional(
            "known",
            new JsonObjectType(),
            "'{\"version\": 0, \"full\": true, \"servers\": []}'",
            "The servers last known.");
    public static final Key<Map<String, Object>> SETTINGS =
            Key.optional("settings", new JsonObjectType(), "'{}'", "The module's settings.");

    public static final Table TABLE = Table.required(
            "sidecar",
            "The sidecar itself. Keys may be left out that the file in config has.",
            CONFIG,
            NAME,
            LISTEN,
            DISCOVERY,
            SEED,
            SOCKETS,
            KNOWN,
            SETTINGS);

    @Override
    public Table table() {
        return TABLE;
    }

    /**
     * Reads the configuration from the table and the JSON file that it names; the keys of the table take precedence.
     *
     * @throws IllegalArgumentException if a value is missing or unusable; the message names it
     */
    public static Config read(Values file) {
        Values table = file.get(TABLE);
        Map<String, Object> merged = new LinkedHashMap<>();
        table.find(CONFIG).ifPresent(path -> merged.putAll(json(path)));
        table.find(NAME).ifPresent(value -> merged.put("name", value));
        table.find(LISTEN).ifPresent(value -> merged.put("listen", value));
        table.find(DISCOVERY).ifPresent(value -> merged.put("discovery", value));
        table.find(SEED).ifPresent(value -> merged.put("seed", value));
        table.find(KNOWN).ifPresent(value -> merged.put("known", value));
        table.find(SETTINGS).ifPresent(value -> merged.put("settings", value));
        table.find(SOCKETS).ifPresent(value -> {
            Map<String, Object> limits = new HashMap<>();
            if (merged.get("limits") instanceof Map<?, ?> limitsOfFile) {
                limitsOfFile.forEach((key, limit) -> limits.put(String.valueOf(key), limit));
            }
            limits.put("sockets", value);
            merged.put("limits", limits);
        });
        return Config.of(Map.of(), merged);
    }

    private static Map<String, Object> json(String path) {
        try {
            byte[] bytes = Files.readAllBytes(Path.of(path));
            return JsonTree.parse(bytes, 0, bytes.length);
        } catch (IOException | java.nio.file.InvalidPathException unreadable) {
            throw new IllegalArgumentException(
                    "sidecar.config names a file that cannot be read: " + path + ": " + unreadable, unreadable);
        } catch (IllegalArgumentException malformed) {
            throw new IllegalArgumentException(path + " is " + malformed.getMessage(), malformed);
        }
    }
}
