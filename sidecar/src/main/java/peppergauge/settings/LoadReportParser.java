package peppergauge.settings;

import java.util.Arrays;
import java.util.List;
import peppergauge.decision.LoadBalancer.LoadField;

/** Parses the load report of a server, from a header or a field of its response: {@code name=value,name=value}. */
public final class LoadReportParser {

    /** Larger figures are invalid: no server has so many requests in flight, or takes so many ms. */
    private static final double MAX_FIGURE = 1e7;

    private LoadReportParser() {}

    /**
     * Parses a report.
     *
     * @return the figures in the order of {@code fields}, NaN for a missing one; null if the report is absent,
     *     malformed
     *     in any place, or has none of the fields
     */
    public static double[] parse(String text, List<LoadField> fields) {
        if (text == null || fields.isEmpty()) {
            return null;
        }
        double[] figures = new double[fields.size()];
        Arrays.fill(figures, Double.NaN);
        boolean any = false;
        for (String part : text.split(",", -1)) {
            int equals = part.indexOf('=');
            double figure =
                    equals < 0 ? Double.NaN : number(part.substring(equals + 1).trim());
            if (!(figure >= 0 && figure < MAX_FIGURE)) {
                // One malformed figure makes the others unreliable too.
                return null;
            }
            int index = fields.indexOf(
                    SettingsReader.loadField(part.substring(0, equals).trim()));
            if (index >= 0) {
                figures[index] = figure;
                any = true;
            }
        }
        return any ? figures : null;
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException malformed) {
            return Double.NaN;
        }
    }
}
