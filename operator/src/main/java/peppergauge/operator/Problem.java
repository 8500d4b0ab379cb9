package peppergauge.operator;

/**
 * What is wrong at one place of a file.
 *
 * @param place where
 * @param key the dotted path of the key; empty where the text is no TOML, or the file as a whole is meant
 * @param message what is wrong and what is allowed
 */
public record Problem(Place place, String key, String message) {

    @Override
    public String toString() {
        return place + ": " + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
