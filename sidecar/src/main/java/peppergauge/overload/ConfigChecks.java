package peppergauge.overload;

/** Names a figure that cannot be, at the start rather than in the middle of an overload. */
final class ConfigChecks {

    private ConfigChecks() {}

    /** @throws IllegalArgumentException naming the figure, unless it {@code holds} */
    static void require(boolean isValid, String parameter, Object value) {
        if (!isValid) {
            throw new IllegalArgumentException(parameter + " cannot be " + value);
        }
    }
}
