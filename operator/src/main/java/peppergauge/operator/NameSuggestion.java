package peppergauge.operator;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Suggests a known name for a misspelled one, by edit distance. */
final class NameSuggestion {

    /** One edit is tolerated for each of so many characters of the name, and one for a shorter name. */
    private static final int CHARS_PER_EDIT = 3;

    private NameSuggestion() {}

    /** Returns the closest known name; empty if none is close, since an unlikely suggestion would mislead. */
    static Optional<String> closest(String name, Collection<String> knownNames) {
        int maxEdits = Math.max(1, name.length() / CHARS_PER_EDIT);
        return knownNames.stream()
                .filter(known -> editDistance(name, known) <= maxEdits)
                .min(Comparator.comparingInt(known -> editDistance(name, known)));
    }

    /** Returns the closest known name as a question, or else a list of all known names. */
    static String hint(String name, Collection<String> knownNames) {
        return closest(name, knownNames)
                .map(NameSuggestion::question)
                .orElseGet(() ->
                        knownNames.isEmpty() ? "no key is allowed here" : "known: " + String.join(", ", knownNames));
    }

    static String question(String suggestion) {
        return "did you mean " + suggestion + "?";
    }

    /**
     * Computes the optimal string alignment distance: the number of characters inserted, deleted, substituted, or
     * transposed with their neighbor.
     */
    static int editDistance(String a, String b) {
        int[][] distances = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            for (int j = 0; j <= b.length(); j++) {
                if (i == 0 || j == 0) {
                    distances[i][j] = i + j;
                    continue;
                }
                int substitution = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                distances[i][j] = Math.min(
                        Math.min(distances[i - 1][j], distances[i][j - 1]) + 1, distances[i - 1][j - 1] + substitution);
                if (i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1)) {
                    distances[i][j] = Math.min(distances[i][j], distances[i - 2][j - 2] + 1);
                }
            }
        }
        return distances[a.length()][b.length()];
    }
}
