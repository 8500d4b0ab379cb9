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

/** A picture as SVG, for the middle of a page; the same picture gives the same bytes. */
final class Drawing {

    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 300;
    private static final int TEXT = 11;
    private static final float LINE = 1.3f;
    /** Events that are drawn in; the page lists all. */
    private static final int MOST_EVENTS = 30;
    /** An event that is over at once still shows as a line, s. */
    private static final double LEAST_EVENT_S = 0.1;

    private static final Font FONT = new Font(Font.SANS_SERIF, Font.PLAIN, TEXT);
    private static final Color EVENT = new Color(200, 60, 60, 30);
    private static final Color EVENT_EDGE = new Color(200, 60, 60, 120);
    private static final Color GRID = new Color(225, 225, 225);
    private static final DecimalFormatSymbols SYMBOLS = DecimalFormatSymbols.getInstance(Locale.ROOT);
    /** A tenth of a pixel is enough, and halves a page. */
    private static final Pattern DECIMALS = Pattern.compile("(\\d+\\.\\d)\\d+");

    private static final Pattern CLIP = Pattern.compile("clip-?\\d+");

    private Drawing() {}

    /** @param number of the picture on its page: names inside SVG are the whole page's */
    static String svg(Picture picture, List<ScriptEvent> events, int number) throws IOException {
        // Without a screen nothing but fonts is asked of the system.
        System.setProperty("java.awt.headless", "true");
        DefaultXYDataset lines = new DefaultXYDataset();
        picture.series()
                .forEach(line -> lines.addSeries(line.name(), new double[][] {array(line.x()), array(line.y())}));
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        renderer.setDrawSeriesLineAsPath(true);
        renderer.setDefaultStroke(new BasicStroke(LINE), false);
        renderer.setAutoPopulateSeriesStroke(false);
        XYPlot plot = new XYPlot(lines, right(picture), up(picture), renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(GRID);
        plot.setRangeGridlinePaint(GRID);
        plot.setOutlineVisible(false);
        if (picture.overTime()) {
            for (int i = 0; i < Math.min(MOST_EVENTS, events.size()); i++) {
                plot.addDomainMarker(marker(events.get(i), i + 1), Layer.BACKGROUND);
            }
        }
        JFreeChart chart = new JFreeChart(null, FONT, plot, true);
        chart.setTitle(new TextTitle(picture.title(), FONT.deriveFont(Font.BOLD)));
        chart.setBackgroundPaint(Color.WHITE);
        chart.getLegend().setItemFont(FONT);
        chart.getLegend().setPosition(RectangleEdge.RIGHT);
        chart.getLegend().setFrame(org.jfree.chart.block.BlockBorder.NONE);
        return drawn(chart, number);
    }

    private static String drawn(JFreeChart chart, int number) throws IOException {
        VectorGraphics2D graphics = new VectorGraphics2D();
        chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        new SVGProcessor()
                .getDocument(graphics.getCommands(), new PageSize(0, 0, WIDTH, HEIGHT))
                .writeTo(bytes);
        String svg = bytes.toString(StandardCharsets.UTF_8);
        svg = DECIMALS.matcher(svg.substring(svg.indexOf("<svg"))).replaceAll("$1");
        // Clips are named by chance, and two pictures of a page could have the same name.
        List<String> clips = CLIP.matcher(svg)
                .results()
                .map(found -> found.group())
                .distinct()
                .toList();
        return CLIP.matcher(svg)
                .replaceAll(found -> "p" + number + "-" + clips.indexOf(found.group()))
                .replaceAll("\\n\\s*", "\n");
    }

    private static ValueAxis right(Picture picture) {
        NumberAxis axis = new NumberAxis(picture.axis());
        axis.setAutoRangeIncludesZero(false);
        axis.setUpperMargin(0);
        axis.setLowerMargin(0);
        if (picture.overTime()) {
            axis.setNumberFormatOverride(new DecimalFormat("0.##", SYMBOLS));
        } else {
            axis.setNumberFormatOverride(new Percentiles());
            axis.setTickUnit(new NumberTickUnit(1));
        }
        return styled(axis);
    }

    private static ValueAxis up(Picture picture) {
        if (picture.logarithmic()) {
            LogAxis axis = new LogAxis(null);
            axis.setNumberFormatOverride(new ThreeDigits());
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
                Math.max(event.untilS(), event.atS() + LEAST_EVENT_S),
                EVENT,
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

    /** Nines as the percentile that they are. */
    private static final class Percentiles extends DecimalFormat {

        private static final long serialVersionUID = 1L;

        Percentiles() {
            super("0.####", SYMBOLS);
        }

        @Override
        public StringBuffer format(double nines, StringBuffer to, FieldPosition position) {
            return super.format(Pictures.percentile(nines), to, position).append('%');
        }
    }

    /** A logarithmic axis ticks at odd places. */
    private static final class ThreeDigits extends DecimalFormat {

        private static final long serialVersionUID = 1L;

        ThreeDigits() {
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
