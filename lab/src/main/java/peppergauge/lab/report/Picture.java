package peppergauge.lab.report;

import java.util.List;

/**
 * What one picture shows.
 *
 * @param title what and, in brackets, in which unit
 * @param axis what runs to the right
 * @param overTime whether that is time, and the script's events are drawn in
 * @param logarithmic whether upwards is; all values are then over 0
 */
public record Picture(String title, String axis, boolean overTime, boolean logarithmic, List<Series> series) {

    /** Series as a list that nobody changes. */
    public Picture {
        series = List.copyOf(series);
    }

    /** One line: as many {@code x} as {@code y}, at least one. */
    public record Series(String name, List<Double> x, List<Double> y) {

        /** Lists that nobody changes. */
        public Series {
            x = List.copyOf(x);
            y = List.copyOf(y);
        }
    }
}
