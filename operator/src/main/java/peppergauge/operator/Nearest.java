package peppergauge.operator;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** The known name that a misspelled one was probably meant to be. */
final class Nearest {

    private Nearest() {}

    /** Empty if nothing known is near: a far-fetched suggestion misleads more than none. */
    static Optional<String> to(String name, Collection<String> known) {
        int most = Math.max(1, name.length() / 3);
        return known.stream()
                .filter(other -> distance(name, other) <= most)
                .min(Comparator.comparingInt(other -> distance(name, other)));
    }

    /** What to put after a message: the nearest name, else all known ones. */
    static String hint(String name, Collection<String> known) {
        return to(name, known)
                .map(near -> "did you mean " + near + "?")
                .orElseGet(() -> known.isEmpty() ? "nothing is known here" : "known: " + String.join(", ", known));
    }

    /** Letters added, left out, changed, or swapped with their neighbour. */
    static int distance(String a, String b) {
        int[][] d = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            for (int j = 0; j <= b.length(); j++) {
                if (i == 0 || j == 0) {
                    d[i][j] = i + j;
                    continue;
                }
                int change = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                d[i][j] = Math.min(Math.min(d[i - 1][j], d[i][j - 1]) + 1, d[i - 1][j - 1] + change);
                if (i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1)) {
                    d[i][j] = Math.min(d[i][j], d[i - 2][j - 2] + 1);
                }
            }
        }
        return d[a.length()][b.length()];
    }
}
