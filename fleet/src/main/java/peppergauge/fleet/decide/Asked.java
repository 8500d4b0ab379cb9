package peppergauge.fleet.decide;

import java.util.List;
import java.util.Locale;

/**
 * A change that can be asked about: {@code zone-lost:NAME}, {@code zone-shunned:NAME} or {@code replaced:SHARE}.
 *
 * @param zone empty for {@link ClassStatistics#REPLACED}
 * @param share 0 but for {@link ClassStatistics#REPLACED}, else one of {@link #SHARES}
 */
public record Asked(Kind kind, String zone, double share) {

    /** Of change; a shunned zone has its weights at the floor, and those replaced take 7 s for it. */
    public enum Kind {
        ZONE_LOST,
        ZONE_SHUNNED,
        REPLACED
    }

    /** Shares of all servers that are answered for. */
    public static final List<Double> SHARES = List.of(0.2, 0.4, 0.6, 0.8, 1.0);

    private static final int LONGEST_NAME = 200;

    /** @throws IllegalArgumentException whose message is the error's name */
    public static Asked read(String text) {
        int colon = text.indexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("malformed-change");
        }
        String value = text.substring(colon + 1);
        return switch (text.substring(0, colon)) {
            case "zone-lost" -> new Asked(Kind.ZONE_LOST, zone(value), 0);
            case "zone-shunned" -> new Asked(Kind.ZONE_SHUNNED, zone(value), 0);
            case "replaced" -> new Asked(Kind.REPLACED, "", share(value));
            default -> throw new IllegalArgumentException("unknown-change");
        };
    }

    private static String zone(String value) {
        if (value.isEmpty() || value.length() > LONGEST_NAME) {
            throw new IllegalArgumentException("malformed-zone");
        }
        return value;
    }

    private static double share(String value) {
        // Plain digits alone: what else Java takes for a number (NaN, 0x1p-1, 0.6d) is no share.
        if (!value.matches("0\\.[0-9]{1,6}|1(\\.0{1,6})?")) {
            throw new IllegalArgumentException("malformed-share");
        }
        double share = Double.parseDouble(value);
        if (!SHARES.contains(share)) {
            throw new IllegalArgumentException("share-not-answered");
        }
        return share;
    }

    /** As it is asked. */
    public String text() {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-') + ":"
                + (kind == Kind.REPLACED ? Double.toString(share) : zone);
    }
}
