package peppergauge.settings;

import java.util.Arrays;
import java.util.List;
import peppergauge.decision.LoadBalancer.LoadField;

/** The load that a backend server reports, in a header or in a field of its answer: {@code name=value,name=value}. */
public final class LoadReportParser {

    /** No server holds so many requests, or takes so many ms. */
    private static final double LARGEST = 1e7;

    private LoadReportParser() {}

    /** The figures in the order of {@code fields}, NaN where one is missing; null if there is none to go by. */
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
            if (!(figure >= 0 && figure < LARGEST)) {
                // A report that is spoilt in one place says nothing for sure in the others.
                return null;
            }
            int place = fields.indexOf(
                    SettingsReader.loadField(part.substring(0, equals).trim()));
            if (place >= 0) {
                figures[place] = figure;
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
