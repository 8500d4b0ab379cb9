package peppergauge.operator;

/**
 * A syntax or validation error at one location of an operator file.
 *
 * @param location where the error is
 * @param key the dotted path of the key; empty for a syntax error or for the file as a whole
 * @param message what is wrong and what is allowed
 */
public record Problem(SourceLocation location, String key, String message) {

    @Override
    public String toString() {
        return location + ": " + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
