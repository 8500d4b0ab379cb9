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

/** What a sidecar is told at its start; the variables {@code GW_*} go before the file that GW_CONFIG names. */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Map<String, Object> known,
        Map<String, Object> settings) {

    private static final int FEWEST_SOCKETS = 48;
    private static final int USUAL_SOCKETS = 1024;

    /** An {@link IllegalArgumentException} says which value is missing or unusable. */
    public static Config read(Map<String, String> environment) {
        return of(environment, file(environment));
    }

    private static Map<String, Object> file(Map<String, String> environment) {
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
     * Of this sidecar alone: the name goes in, as sidecars that share a seed must not draw the same waits. Mixed, for
     * the first draws of {@link java.util.Random} hardly differ between seeds that differ in their last bits only.
     */
    public long ownSeed() {
        return new SplittableRandom(seed * 31 + name.hashCode()).nextLong();
    }

    /** As {@link #read}, of a file that is read already. */
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
     * Where discovery is by the file as it is now. GW_DISCOVERY goes before the file at the start only: a variable
     * cannot change while the program runs, and the file may have been replaced before it was read for the first time,
     * so that its being as it was then says nothing.
     */
    public static Config reread(Map<String, String> environment) {
        Map<String, Object> file = file(environment);
        Map<String, String> variables = new HashMap<>(environment);
        if (file.containsKey("discovery")) {
            variables.remove("GW_DISCOVERY");
        }
        return of(variables, file);
    }

    private static String text(Map<String, String> environment, String variable, Map<String, Object> file, String key) {
        Object value = environment.containsKey(variable) ? environment.get(variable) : file.get(key);
        require(value instanceof String text && !text.isBlank(), "neither " + variable + " nor '" + key + "' is set");
        return (String) value;
    }

    /** What is wrong is told of the variable or of the file's key, whichever it was taken from. */
    private static InetSocketAddress address(
            Map<String, String> environment, String variable, Map<String, Object> file, String key) {
        return address(
                text(environment, variable, file, key),
                environment.containsKey(variable) ? variable : "'" + key + "' in " + environment.get("GW_CONFIG"));
    }

    private static InetSocketAddress address(String text, String origin) {
        int colon = text.lastIndexOf(':');
        int port = -1;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException malformed) {
            // Reported below.
        }
        require(colon > 0 && port >= 0 && port <= 65535, origin + " is not host:port: " + text);
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    private static long seed(Object seed) {
        if (seed instanceof Number number) {
            return number.longValue();
        }
        require(seed instanceof String, "'seed' is missing");
        try {
            return Long.parseUnsignedLong((String) seed, 16);
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException("'seed' is not hexadecimal: " + seed);
        }
    }

    private static int sockets(Object limits) {
        Object sockets = limits instanceof Map<?, ?> map ? map.get("sockets") : null;
        if (sockets == null) {
            return USUAL_SOCKETS;
        }
        require(
                sockets instanceof Number number && number.longValue() >= FEWEST_SOCKETS,
                "'limits.sockets' is not a number of at least " + FEWEST_SOCKETS + ": " + sockets);
        return ((Number) sockets).intValue();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Map<String, Object> file, String key) {
        require(file.get(key) instanceof Map, "'" + key + "' is not an object");
        return (Map<String, Object>) file.get(key);
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }
}
