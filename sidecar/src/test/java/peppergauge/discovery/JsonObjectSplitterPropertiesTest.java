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

/** Checks that white space and the sizes of reads do not affect the objects that are found. */
class JsonObjectSplitterPropertiesTest {

    /** Strings with brackets, quotes and characters of two bytes. */
    private static final List<String> NAMES = List.of("s", "s-5be2a07c", "}{", "][", "\\\"", "\\\\", "a b", "\u00e9");

    private static final List<String> LINE_ENDS = List.of("\n", "\r\n");
    private static final List<String> INDENTS = List.of("", " ", "    ", "\t");

    /** The white space in an update. */
    private enum Layout {
        ONE_LINE,
        SPACED,
        INDENTED,
        INDENTED_WITH_BLANK_LINES
    }

    private final List<String> objects = new ArrayList<>();
    private int blankLines;
    private final JsonObjectSplitter splitter = new JsonObjectSplitter(new JsonObjectSplitter.Sink() {
        @Override
        public void onObject(byte[] text) {
            objects.add(JsonTree.parse(text, 0, text.length).toString());
        }

        @Override
        public void onBlankLine() {
            blankLines++;
        }
    });

    private static String update(SplittableRandom random, int version) {
        StringBuilder endpoints = new StringBuilder();
        for (int remaining = random.nextInt(5); remaining > 0; remaining--) {
            endpoints
                    .append(endpoints.isEmpty() ? "" : ",")
                    .append("{\"id\":\"")
                    .append(NAMES.get(random.nextInt(NAMES.size())))
                    .append("\",\"addr\":\"h:1\",\"cell\":")
                    .append(random.nextInt(9))
                    .append(",\"state\":\"active\"}");
        }
        return "{\"version\":" + version + ",\"full\":" + random.nextBoolean() + ",\"servers\":[" + endpoints + "]}";
    }

    /** Adds white space after opening brackets and separators and before closing brackets. */
    private static String format(String update, Layout layout, String lineEnd, String indent) {
        if (layout == Layout.ONE_LINE) {
            return update;
        }
        String whiteSpace = switch (layout) {
            case SPACED -> " ";
            case INDENTED -> lineEnd + indent;
            default -> lineEnd + lineEnd + indent;
        };
        StringBuilder text = new StringBuilder();
        boolean isInString = false;
        for (int i = 0; i < update.length(); i++) {
            char next = update.charAt(i);
            if (next == '"' && !isEscaped(update, i)) {
                isInString = !isInString;
            }
            boolean isClosing = !isInString && (next == '}' || next == ']');
            boolean isOpening = !isInString && (next == '{' || next == '[' || next == ',' || next == ':');
            text.append(isClosing ? whiteSpace : "").append(next).append(isOpening ? whiteSpace : "");
        }
        // An empty list would contain two blank lines in a row, which are not allowed within an object.
        return text.toString().replace(whiteSpace + whiteSpace, whiteSpace);
    }

    private static boolean isEscaped(String text, int index) {
        int backslashes = 0;
        while (index > backslashes && text.charAt(index - 1 - backslashes) == '\\') {
            backslashes++;
        }
        return backslashes % 2 == 1;
    }

    @Property(seed = "21", tries = 2_000)
    void findsObjectsForAnyWhiteSpaceAndReadSize(
            @ForAll long seed,
            @ForAll @Size(min = 1, max = 6) List<Layout> layouts,
            @ForAll @IntRange(min = 1, max = 400) int maxBytesPerRead)
            throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        objects.clear();
        blankLines = 0;
        List<String> expectedObjects = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        int expectedBlankLines = 0;
        for (Layout layout : layouts) {
            String update = update(random, expectedObjects.size());
            byte[] bytes = update.getBytes(StandardCharsets.UTF_8);
            Map<String, Object> parsed = JsonTree.parse(bytes, 0, bytes.length);
            expectedObjects.add(parsed.toString());
            String lineEnd = LINE_ENDS.get(random.nextInt(LINE_ENDS.size()));
            text.append(format(update, layout, lineEnd, INDENTS.get(random.nextInt(INDENTS.size()))));
            // No line break puts the next object on the same line; further line breaks are heartbeats.
            int lineEnds = random.nextInt(4);
            text.append(lineEnd.repeat(lineEnds));
            expectedBlankLines += Math.max(0, lineEnds - 1);
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; ) {
            int length = Math.min(bytes.length - from, 1 + random.nextInt(maxBytesPerRead));
            splitter.write(ByteBuffer.wrap(bytes, from, length));
            from += length;
        }
        assertEquals(expectedObjects, objects);
        assertEquals(expectedBlankLines, blankLines, "blank lines between objects");
    }
}
