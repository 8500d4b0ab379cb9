package peppergauge.fleet.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A change that forecasts are made for: {@code zone-lost:NAME}, {@code zone-shunned:NAME} or {@code replaced:SHARE}.
 *
 * @param zone empty for {@link Kind#REPLACED}
 * @param share one of {@link #REPLACED_SHARES} for {@link Kind#REPLACED}, else 0
 */
public record ChangeQuery(Kind kind, String zone, double share) {

    /** Kind of a change. */
    public enum Kind {
        /** All servers of a zone leave. */
        ZONE_LOST,
        /** A zone has the minimum weight for all tenants. */
        ZONE_SHUNNED,
        /** A share of the servers is replaced within 7 s. */
        REPLACED
    }

    /** Shares of replaced servers that forecasts are made for. */
    public static final List<Double> REPLACED_SHARES = List.of(0.2, 0.4, 0.6, 0.8, 1.0);

    private static final int MAX_NAME_LENGTH = 200;

    /**
     * Parses the text of a query.
     *
     * @throws IllegalArgumentException whose message is the name of the error, as sent to clients
     */
    public static ChangeQuery parse(String text) {
        int colon = text.indexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("malformed-change");
        }
        String value = text.substring(colon + 1);
        return switch (text.substring(0, colon)) {
            case "zone-lost" -> new ChangeQuery(Kind.ZONE_LOST, parseZone(value), 0);
            case "zone-shunned" -> new ChangeQuery(Kind.ZONE_SHUNNED, parseZone(value), 0);
            case "replaced" -> new ChangeQuery(Kind.REPLACED, "", parseShare(value));
            default -> throw new IllegalArgumentException("unknown-change");
        };
    }

    private static String parseZone(String value) {
        if (value.isEmpty() || value.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException("malformed-zone");
        }
        return value;
    }

    private static double parseShare(String value) {
        // Accepts decimal digits only, since Double.parseDouble also accepts NaN, 0x1p-1 and 0.6d.
        if (!value.matches("0\\.[0-9]{1,6}|1(\\.0{1,6})?")) {
            throw new IllegalArgumentException("malformed-share");
        }
        double share = Double.parseDouble(value);
        if (!REPLACED_SHARES.contains(share)) {
            throw new IllegalArgumentException("share-not-answered");
        }
        return share;
    }

    /** Returns all queries that forecasts are made for. The loss or shunning of a zone needs at least two zones. */
    public static List<ChangeQuery> all(List<String> zones) {
        List<ChangeQuery> all = new ArrayList<>();
        if (zones.size() > 1) {
            zones.forEach(zone -> {
                all.add(new ChangeQuery(Kind.ZONE_LOST, zone, 0));
                all.add(new ChangeQuery(Kind.ZONE_SHUNNED, zone, 0));
            });
        }
        REPLACED_SHARES.forEach(share -> all.add(new ChangeQuery(Kind.REPLACED, "", share)));
        return all;
    }

    /** Returns the text that {@link #parse} reads. */
    public String text() {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-') + ":"
                + (kind == Kind.REPLACED ? Double.toString(share) : zone);
    }
}
