package peppergauge.backend;
import java.util.Arrays;
import java.util.List;
import peppergauge.decision.Balancer.LoadField;
import peppergauge.settings.SettingsReader;

/** The load that a backend server reports: {@code name=value,name=value}. */
final class LoadReport {

    private LoadReport() { }

    /** The figures in the order of {@code fields}, NaN where one is missing; null if there is none. */
    static double[] parse(String text, List<LoadField> fields) {
        if (text == null || fields.isEmpty()) {
            return null;
        }
        double[] figures = new double[fields.size()];
        Arrays.fill(figures, Double.NaN);
        boolean any = false;
        for (String part : text.split(",")) {
            int equals = part.indexOf('=');
            int place = equals < 0 ? -1 : fields.indexOf(SettingsReader.loadField(part.substring(0, equals).trim()));
            double figure = place < 0 ? Double.NaN : number(part.substring(equals + 1).trim());
            if (figure >= 0 && figure < Double.POSITIVE_INFINITY) {
                figures[place] = figure;
                any = true;
            }
        }
        return any ? figures : null;
    }

    /** A malformed figure counts as missing: a load report is a hint and must never fail an answer. */
    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException malformed) {
            return Double.NaN;
        }
    }
}
