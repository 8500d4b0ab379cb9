package peppergauge.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import peppergauge.settings.JsonTree;

/**
 * Configuration of one sidecar instance. The variables {@code GW_*} take precedence over the JSON file that
 * {@code GW_CONFIG} names.
 *
 * @param name name of the instance
 * @param listen address of the HTTP frontend
 * @param discovery address of the platform's discovery
 * @param seed shared by the sidecar instances of a service
 * @param maxSockets limit of open sockets
 * @param knownEndpoints endpoint list to start with, in the format of discovery's updates
 * @param settings the load balancer's settings, as {@link peppergauge.settings.SettingsReader} reads them
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int maxSockets,
        Map<String, Object> knownEndpoints,
        Map<String, Object> settings) {

    private static final int MIN_SOCKETS = 48;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MAX_PORT = 65535;

    /**
     * Reads the variables and the file.
     *
     * @throws IllegalArgumentException if a value is missing or invalid, or the file cannot be read
     */
    public static Config read(Map<String, String> environment) {
        return of(environment, readFile(environment));
    }

    private static Map<String, Object> readFile(Map<String, String> environment) {
        String path = environment.get("GW_CONFIG");
        require(path != null && !path.isBlank(), "GW_CONFIG is not set");
        try {
            byte[] bytes = Files.readAllBytes(Path.of(path));
            return JsonTree.parse(bytes, 0, bytes.length);
        } catch (IOException | InvalidPathException unreadable) {
            throw new IllegalArgumentException("GW_CONFIG names a file that cannot be read: " + path);
        } catch (IllegalArgumentException malformed) {
            throw new IllegalArgumentException(path + " is " + malformed.getMessage());
        }
    }

    /**
     * Returns the seed of this instance, derived from the shared seed and the name. It is mixed, since the first values
     * of {@link java.util.Random} hardly differ for seeds that differ in their last bits only.
     */
    public long instanceSeed() {
        return new SplittableRandom(seed * 31 + name.hashCode()).nextLong();
    }

    /**
     * Returns the configuration for the contents of a file.
     *
     * @throws IllegalArgumentException if a value is missing or invalid
     */
    public static Config of(Map<String, String> environment, Map<String, Object> file) {
        return new Config(
                text(environment, "GW_NAME", file, "name"),
                address(environment, "GW_LISTEN", file, "listen"),
                address(environment, "GW_DISCOVERY", file, "discovery"),
                seed(file.get("seed")),
                sockets(file.get("limits")),
                object(file, "known"),
                object(file, "settings"));
    }

    /**
     * Reads the file again. Its discovery address takes precedence over GW_DISCOVERY here: a variable cannot change
     * while the program runs.
     *
     * @throws IllegalArgumentException if a value is missing or invalid, or the file cannot be read
     */
    public static Config reload(Map<String, String> environment) {
        Map<String, Object> file = readFile(environment);
        Map<String, String> variables = new HashMap<>(environment);
        if (file.containsKey("discovery")) {
            variables.remove("GW_DISCOVERY");
        }
        return of(variables, file);
    }

    private static String text(Map<String, String> environment, String variable, Map<String, Object> file, String key) {
        Object value = environment.containsKey(variable) ? environment.get(variable) : file.get(key);
        require(value != null, "neither " + variable + " nor '" + key + "' is set");
        require(
                value instanceof String text && !text.isBlank(),
                origin(environment, variable, key) + " must be a text that is not blank but is '" + value + "'");
        return (String) value;
    }

    /** The source of a value: the variable if it is set, otherwise the key of the file. */
    private static String origin(Map<String, String> environment, String variable, String key) {
        return environment.containsKey(variable) ? variable : "'" + key + "' in " + environment.get("GW_CONFIG");
    }

    /** Errors name the source of the value: the variable or the file's key. */
    private static InetSocketAddress address(
            Map<String, String> environment, String variable, Map<String, Object> file, String key) {
        return address(text(environment, variable, file, key), origin(environment, variable, key));
    }

    private static InetSocketAddress address(String text, String origin) {
        int colon = text.lastIndexOf(':');
        int port = -1;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException malformed) {
            // The invalid port is reported below.
        }
        require(colon > 0 && port >= 0 && port <= MAX_PORT, origin + " is not host:port: " + text);
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    private static long seed(Object seed) {
        if (seed instanceof Number number) {
            return number.longValue();
        }
        require(seed != null, "'seed' is missing");
        require(seed instanceof String, "'seed' must be a number or a hexadecimal text but is " + seed);
        try {
            return Long.parseUnsignedLong((String) seed, 16);
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException("'seed' is not hexadecimal: " + seed);
        }
    }

    private static int sockets(Object limits) {
        Object sockets = limits instanceof Map<?, ?> map ? map.get("sockets") : null;
        if (sockets == null) {
            return DEFAULT_SOCKETS;
        }
        require(
                sockets instanceof Number number && number.longValue() >= MIN_SOCKETS,
                "'limits.sockets' is not a number of at least " + MIN_SOCKETS + ": " + sockets);
        return ((Number) sockets).intValue();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Map<String, Object> file, String key) {
        require(file.get(key) instanceof Map, "'" + key + "' is not an object");
        return (Map<String, Object>) file.get(key);
    }

    private static void require(boolean isValid, String message) {
        if (!isValid) {
            throw new IllegalArgumentException(message);
        }
    }
}
