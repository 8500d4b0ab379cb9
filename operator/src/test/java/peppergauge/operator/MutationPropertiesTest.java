package peppergauge.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Any edit of a valid file gives either values or problems with a line number. */
class MutationPropertiesTest {

    private static final List<String> LINES = SampleSchema.VALID.lines().toList();
    private static final String VALUES = valuesText(SampleSchema.FILES.read("f", SampleSchema.VALID));

    private static String valuesText(ReadResult result) {
        return result.values().orElseThrow().toString();
    }

    private static ReadResult read(List<String> lines) {
        return SampleSchema.FILES.read("f", String.join("\n", lines));
    }

    @Property(seed = "11")
    void layoutAndCommentsDoNotChangeValues(@ForAll @IntRange(max = 11) int line, @ForAll @IntRange(max = 3) int edit) {
        List<String> lines = new ArrayList<>(LINES);
        switch (edit) {
            case 0 -> lines.add(line, "# lenght = 3");
            case 1 -> lines.add(line, "");
            case 2 -> lines.set(line, "\t" + lines.get(line) + "  # comment");
            default -> lines.set(line, lines.get(line).replace(" = ", "="));
        }
        assertEquals(VALUES, valuesText(read(lines)));
    }

    @Property(seed = "12")
    void unknownKeyIsReportedWithItsLine(@ForAll @IntRange(max = 11) int line, @ForAll @IntRange(max = 1) int edit) {
        List<String> lines = new ArrayList<>(LINES);
        if (edit == 0 || lines.get(line).startsWith("[")) {
            lines.add(line, "unknown-key = 1");
        } else {
            lines.set(line, "x" + lines.get(line));
        }
        ReadResult result = read(lines);
        assertTrue(
                result.problems().stream()
                        .anyMatch(problem -> problem.location().line() == line + 1
                                || problem.key().equals("kind")),
                () -> result.problems().toString());
    }

    @Property(seed = "13", tries = 1000)
    void anyEditGivesValuesOrProblemsWithLines(
            @ForAll @IntRange(max = 200) int start, @ForAll @IntRange(max = 9) int removed, @ForAll String added) {
        int from = Math.min(start, SampleSchema.VALID.length());
        int to = Math.min(from + removed, SampleSchema.VALID.length());
        String edited = SampleSchema.VALID.substring(0, from) + added + SampleSchema.VALID.substring(to);
        ReadResult result = SampleSchema.FILES.read("f", edited);
        assertEquals(result.values().isEmpty(), !result.problems().isEmpty());
        for (Problem problem : result.problems()) {
            assertTrue(problem.location().line() >= 1 && problem.location().column() >= 0, problem::toString);
            assertFalse(problem.message().isBlank());
        }
    }

    /** Formats a number as the error messages and schemas show it, and parses the result. */
    @Property(seed = "14")
    void parsesFormattedQuantities(@ForAll @IntRange int number) {
        long positive = Math.abs((long) number);
        for (UnitFormat format : List.of(UnitFormat.SIZE, UnitFormat.DURATION)) {
            String text = format.format(positive * 1_000);
            assertEquals(positive * 1_000, format.parse(text).orElseThrow(), text);
        }
    }
}
