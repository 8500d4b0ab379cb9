package peppergauge.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import peppergauge.settings.JsonTree;

/** Lists laid out in any way that JSON allows, cut anywhere: what is told is the same as of one line each. */
class JsonObjectSplitterPropertiesTest {

    /** Of names, so that brackets, quotes and letters of two bytes stand in texts. */
    private static final List<String> NAMES = List.of("s", "s-5be2a07c", "}{", "][", "\\\"", "\\\\", "a b", "\u00e9");

    private static final List<String> LINE_ENDS = List.of("\n", "\r\n");
    private static final List<String> INDENTS = List.of("", " ", "    ", "\t");

    /** How one list is laid out. */
    private enum Layout {
        ONE_LINE,
        SPACED,
        INDENTED,
        INDENTED_WITH_BLANK_LINES
    }

    private final List<String> told = new ArrayList<>();
    private int blankLines;
    private final JsonObjectSplitter news = new JsonObjectSplitter(new JsonObjectSplitter.Sink() {
        @Override
        public void onObject(byte[] text) {
            told.add(JsonTree.parse(text, 0, text.length).toString());
        }

        @Override
        public void onBlankLine() {
            blankLines++;
        }
    });

    private static String list(SplittableRandom random, int version) {
        StringBuilder rows = new StringBuilder();
        for (int row = random.nextInt(5); row > 0; row--) {
            rows.append(rows.isEmpty() ? "" : ",")
                    .append("{\"id\":\"")
                    .append(NAMES.get(random.nextInt(NAMES.size())))
                    .append("\",\"addr\":\"h:1\",\"cell\":")
                    .append(random.nextInt(9))
                    .append(",\"state\":\"active\"}");
        }
        return "{\"version\":" + version + ",\"full\":" + random.nextBoolean() + ",\"servers\":[" + rows + "]}";
    }

    /** The same list with white space where JSON allows it: after what opens and separates, before what closes. */
    private static String laidOut(String list, Layout layout, String lineEnd, String indent) {
        if (layout == Layout.ONE_LINE) {
            return list;
        }
        String gap = switch (layout) {
            case SPACED -> " ";
            case INDENTED -> lineEnd + indent;
            default -> lineEnd + lineEnd + indent;
        };
        StringBuilder text = new StringBuilder();
        boolean inString = false;
        for (int i = 0; i < list.length(); i++) {
            char next = list.charAt(i);
            if (next == '"' && !escaped(list, i)) {
                inString = !inString;
            }
            boolean closes = !inString && (next == '}' || next == ']');
            boolean opens = !inString && (next == '{' || next == '[' || next == ',' || next == ':');
            text.append(closes ? gap : "").append(next).append(opens ? gap : "");
        }
        // What an empty list has twice, after its opening and before its closing, are not two blank lines in a row.
        return text.toString().replace(gap + gap, gap);
    }

    private static boolean escaped(String text, int at) {
        int slashes = 0;
        while (at > slashes && text.charAt(at - 1 - slashes) == '\\') {
            slashes++;
        }
        return slashes % 2 == 1;
    }

    @Property(seed = "21", tries = 2_000)
    void listsInAnyLayoutAndAnyPiecesAreToldAsOneLineEach(
            @ForAll long seed,
            @ForAll @Size(min = 1, max = 6) List<Layout> layouts,
            @ForAll @IntRange(min = 1, max = 400) int most)
            throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        told.clear();
        blankLines = 0;
        List<String> expected = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        int blank = 0;
        for (Layout layout : layouts) {
            String list = list(random, expected.size());
            byte[] bytes = list.getBytes(StandardCharsets.UTF_8);
            Map<String, Object> parsed = JsonTree.parse(bytes, 0, bytes.length);
            expected.add(parsed.toString());
            String lineEnd = LINE_ENDS.get(random.nextInt(LINE_ENDS.size()));
            text.append(laidOut(list, layout, lineEnd, INDENTS.get(random.nextInt(INDENTS.size()))));
            // Several on a line, or one a line with empty lines between them.
            int ends = random.nextInt(4);
            text.append(lineEnd.repeat(ends));
            blank += Math.max(0, ends - 1);
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; ) {
            int length = Math.min(bytes.length - from, 1 + random.nextInt(most));
            news.write(ByteBuffer.wrap(bytes, from, length));
            from += length;
        }
        assertEquals(expected, told);
        assertEquals(blank, blankLines, "empty lines, without the end of each list's own line");
    }
}
