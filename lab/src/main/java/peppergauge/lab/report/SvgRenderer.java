package peppergauge.lab.report;

import de.erichseifert.vectorgraphics2d.VectorGraphics2D;
import de.erichseifert.vectorgraphics2d.svg.SVGProcessor;
import de.erichseifert.vectorgraphics2d.util.PageSize;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.charset.StandardCharsets;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.text.FieldPosition;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.NumberTickUnit;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.title.TextTitle;
import org.jfree.chart.ui.Layer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.RectangleEdge;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.DefaultXYDataset;
import peppergauge.lab.result.RunResult.ScriptEvent;

/** Renders a chart as an SVG element of an HTML page; equal charts give equal bytes. */
final class SvgRenderer {

    private static final int WIDTH_PX = 1_000;
    private static final int HEIGHT_PX = 300;
    private static final int FONT_SIZE = 11;
    private static final float LINE_WIDTH = 1.3f;
    /** Limit of the events in a chart; the page lists all events. */
    private static final int MAX_EVENTS = 30;
    /** Minimum length of a drawn event, so that an instantaneous event is visible as a line. */
    private static final double MIN_EVENT_S = 0.1;

    private static final Font FONT = new Font(Font.SANS_SERIF, Font.PLAIN, FONT_SIZE);
    private static final Color EVENT_FILL = new Color(200, 60, 60, 30);
    private static final Color EVENT_EDGE = new Color(200, 60, 60, 120);
    private static final Color GRID = new Color(225, 225, 225);
    private static final DecimalFormatSymbols SYMBOLS = DecimalFormatSymbols.getInstance(Locale.ROOT);
    /** Digits after the first decimal place. Removing them keeps a precision of 0.1 pixels and halves the page size. */
    private static final Pattern DECIMALS = Pattern.compile("(\\d+\\.\\d)\\d+");

    private static final Pattern CLIP_ID = Pattern.compile("clip-?\\d+");

    private SvgRenderer() {}

    /** @param number the number of the chart on its page, which makes the SVG ids unique in the page */
    static String svg(Chart chart, List<ScriptEvent> events, int number) throws IOException {
        // Only fonts are used, so that AWT needs no display.
        System.setProperty("java.awt.headless", "true");
        DefaultXYDataset dataset = new DefaultXYDataset();
        chart.series()
                .forEach(line -> dataset.addSeries(line.name(), new double[][] {array(line.x()), array(line.y())}));
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        renderer.setDrawSeriesLineAsPath(true);
        renderer.setDefaultStroke(new BasicStroke(LINE_WIDTH), false);
        renderer.setAutoPopulateSeriesStroke(false);
        XYPlot plot = new XYPlot(dataset, domainAxis(chart), rangeAxis(chart), renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(GRID);
        plot.setRangeGridlinePaint(GRID);
        plot.setOutlineVisible(false);
        if (chart.overTime()) {
            for (int i = 0; i < Math.min(MAX_EVENTS, events.size()); i++) {
                plot.addDomainMarker(marker(events.get(i), i + 1), Layer.BACKGROUND);
            }
        }
        JFreeChart drawing = new JFreeChart(null, FONT, plot, true);
        drawing.setTitle(new TextTitle(chart.title(), FONT.deriveFont(Font.BOLD)));
        drawing.setBackgroundPaint(Color.WHITE);
        drawing.getLegend().setItemFont(FONT);
        drawing.getLegend().setPosition(RectangleEdge.RIGHT);
        drawing.getLegend().setFrame(org.jfree.chart.block.BlockBorder.NONE);
        return toSvg(drawing, number);
    }

    private static String toSvg(JFreeChart drawing, int number) throws IOException {
        VectorGraphics2D graphics = new VectorGraphics2D();
        drawing.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH_PX, HEIGHT_PX));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        new SVGProcessor()
                .getDocument(graphics.getCommands(), new PageSize(0, 0, WIDTH_PX, HEIGHT_PX))
                .writeTo(bytes);
        String svg = bytes.toString(StandardCharsets.UTF_8);
        svg = DECIMALS.matcher(svg.substring(svg.indexOf("<svg"))).replaceAll("$1");
        // Clip ids are random, so that two charts of a page could have the same id.
        List<String> clipIds = CLIP_ID.matcher(svg)
                .results()
                .map(match -> match.group())
                .distinct()
                .toList();
        return CLIP_ID.matcher(svg)
                .replaceAll(match -> "p" + number + "-" + clipIds.indexOf(match.group()))
                .replaceAll("\\n\\s*", "\n");
    }

    private static ValueAxis domainAxis(Chart chart) {
        NumberAxis axis = new NumberAxis(chart.axis());
        axis.setAutoRangeIncludesZero(false);
        axis.setUpperMargin(0);
        axis.setLowerMargin(0);
        if (chart.overTime()) {
            axis.setNumberFormatOverride(new DecimalFormat("0.##", SYMBOLS));
        } else {
            axis.setNumberFormatOverride(new PercentileFormat());
            axis.setTickUnit(new NumberTickUnit(1));
        }
        return styled(axis);
    }

    private static ValueAxis rangeAxis(Chart chart) {
        if (chart.logarithmic()) {
            LogAxis axis = new LogAxis(null);
            axis.setNumberFormatOverride(new ThreeDigitFormat());
            return styled(axis);
        }
        NumberAxis axis = new NumberAxis(null);
        axis.setAutoRangeIncludesZero(true);
        axis.setNumberFormatOverride(new DecimalFormat("0.###", SYMBOLS));
        return styled(axis);
    }

    private static ValueAxis styled(ValueAxis axis) {
        axis.setTickLabelFont(FONT);
        axis.setLabelFont(FONT);
        return axis;
    }

    private static IntervalMarker marker(ScriptEvent event, int number) {
        IntervalMarker marker = new IntervalMarker(
                event.atS(),
                Math.max(event.untilS(), event.atS() + MIN_EVENT_S),
                EVENT_FILL,
                new BasicStroke(1),
                EVENT_EDGE,
                new BasicStroke(1),
                1);
        marker.setLabel(Integer.toString(number));
        marker.setLabelFont(FONT);
        marker.setLabelAnchor(RectangleAnchor.TOP_LEFT);
        marker.setLabelTextAnchor(TextAnchor.TOP_LEFT);
        return marker;
    }

    /** Formats a number of nines as a percentile. */
    private static final class PercentileFormat extends DecimalFormat {

        private static final long serialVersionUID = 1L;

        PercentileFormat() {
            super("0.####", SYMBOLS);
        }

        @Override
        public StringBuffer format(double nines, StringBuffer to, FieldPosition position) {
            return super.format(ResultCharts.percentile(nines), to, position).append('%');
        }
    }

    /** Rounds to three significant digits, since the ticks of a logarithmic axis are at values with many digits. */
    private static final class ThreeDigitFormat extends DecimalFormat {

        private static final long serialVersionUID = 1L;

        ThreeDigitFormat() {
            super("0.##", SYMBOLS);
        }

        @Override
        public StringBuffer format(double value, StringBuffer to, FieldPosition position) {
            return super.format(new BigDecimal(value).round(new MathContext(3)).doubleValue(), to, position);
        }
    }

    private static double[] array(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).toArray();
    }
}
