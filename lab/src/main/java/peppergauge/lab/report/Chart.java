package peppergauge.lab.report;

import java.util.List;

/**
 * A line chart.
 *
 * @param title title with the unit in parentheses
 * @param axis label of the horizontal axis
 * @param overTime whether the horizontal axis is time; the events of the scenario are then drawn
 * @param logarithmic whether the vertical axis is logarithmic; all values are then above 0
 * @param series lines of the chart
 */
public record Chart(String title, String axis, boolean overTime, boolean logarithmic, List<Series> series) {

    /** Copies the list. */
    public Chart {
        series = List.copyOf(series);
    }

    /** One line, with at least one point; both lists have the same size. */
    public record Series(String name, List<Double> x, List<Double> y) {

        /** Copies the lists. */
        public Series {
            x = List.copyOf(x);
            y = List.copyOf(y);
        }
    }
}
