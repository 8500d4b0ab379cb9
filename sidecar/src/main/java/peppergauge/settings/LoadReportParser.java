package peppergauge.settings;

import java.util.Arrays;
import java.util.List;
import peppergauge.decision.LoadBalancer.LoadField;

/** Parses a server's load report, {@code name=value,name=value}, from a header or the body of its response. */
public final class LoadReportParser {

    /** Greater values are invalid: no server has this many requests in flight or needs this many ms. */
    private static final double MAX_VALUE = 1e7;

    private LoadReportParser() {}

    /**
     * Parses a report.
     *
     * @return the values in the order of {@code fields}, NaN for a missing one; null if the report is absent or
     *     malformed, or has none of the fields
     */
    public static double[] parse(String text, List<LoadField> fields) {
        if (text == null || fields.isEmpty()) {
            return null;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        boolean hasValue = false;
        for (String part : text.split(",", -1)) {
            int equals = part.indexOf('=');
            double value =
                    equals < 0 ? Double.NaN : number(part.substring(equals + 1).trim());
            if (!(value >= 0 && value < MAX_VALUE)) {
                // One malformed value makes the others unreliable too.
                return null;
            }
            int index = fields.indexOf(
                    SettingsReader.loadField(part.substring(0, equals).trim()));
            if (index >= 0) {
                values[index] = value;
                hasValue = true;
            }
        }
        return hasValue ? values : null;
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException malformed) {
            return Double.NaN;
        }
    }
}
