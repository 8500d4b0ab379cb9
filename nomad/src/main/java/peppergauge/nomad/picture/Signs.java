package peppergauge.nomad.picture;

/**
 * What speaks against sending to a server, in words; each empty if nothing does.
 *
 * @param leaving someone means it to go
 * @param ill it is told to be ill, and nobody means it to go
 */
public record Signs(String leaving, String ill) {

    public static final Signs NONE = new Signs("", "");

    Signs and(Signs other) {
        return new Signs(leaving.isEmpty() ? other.leaving : leaving, ill.isEmpty() ? other.ill : ill);
    }
}
