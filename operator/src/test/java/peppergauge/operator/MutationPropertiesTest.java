package peppergauge.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Whatever becomes of a valid file, it is read to what it says, or a line is named. */
class MutationPropertiesTest {

    private static final List<String> LINES = Fleet.VALID.lines().toList();
    private static final String MEANING = meaning(Fleet.FILES.read("f", Fleet.VALID));

    private static String meaning(ReadResult reading) {
        return reading.values().orElseThrow().toString();
    }

    private static ReadResult read(List<String> lines) {
        return Fleet.FILES.read("f", String.join("\n", lines));
    }

    @Property(seed = "11")
    void layoutAndCommentsChangeNothing(@ForAll @IntRange(max = 11) int at, @ForAll @IntRange(max = 3) int how) {
        List<String> lines = new ArrayList<>(LINES);
        switch (how) {
            case 0 -> lines.add(at, "# lenght = 3");
            case 1 -> lines.add(at, "");
            case 2 -> lines.set(at, "\t" + lines.get(at) + "  # so");
            default -> lines.set(at, lines.get(at).replace(" = ", "="));
        }
        assertEquals(MEANING, meaning(read(lines)));
    }

    @Property(seed = "12")
    void aKeyMoreOrTwiceOrMisspelledIsNamedInItsLine(
            @ForAll @IntRange(max = 11) int at, @ForAll @IntRange(max = 1) int how) {
        List<String> lines = new ArrayList<>(LINES);
        if (how == 0 || lines.get(at).startsWith("[")) {
            lines.add(at, "unheard-of = 1");
        } else {
            lines.set(at, "x" + lines.get(at));
        }
        ReadResult reading = read(lines);
        assertTrue(
                reading.problems().stream()
                        .anyMatch(problem -> problem.place().line() == at + 1
                                || problem.key().equals("kind")),
                () -> reading.problems().toString());
    }

    @Property(seed = "13", tries = 1000)
    void anyEditReadsOrNamesALine(
            @ForAll @IntRange(max = 200) int at, @ForAll @IntRange(max = 9) int removed, @ForAll String added) {
        int from = Math.min(at, Fleet.VALID.length());
        int to = Math.min(from + removed, Fleet.VALID.length());
        ReadResult reading = Fleet.FILES.read("f", Fleet.VALID.substring(0, from) + added + Fleet.VALID.substring(to));
        assertEquals(reading.values().isEmpty(), !reading.problems().isEmpty());
        for (Problem problem : reading.problems()) {
            assertTrue(problem.place().line() >= 1 && problem.place().column() >= 0, problem::toString);
            assertFalse(problem.message().isBlank());
        }
    }

    /** A value that goes through the schema's own text comes back the same. */
    @Property(seed = "14")
    void quantitiesReadWhatTheyPrint(@ForAll @IntRange int number) {
        long positive = Math.abs((long) number);
        for (Quantity quantity : List.of(Quantity.SIZE, Quantity.DURATION)) {
            String text = quantity.text(positive * 1_000);
            assertEquals(positive * 1_000, quantity.read(text).orElseThrow(), text);
        }
    }
}
