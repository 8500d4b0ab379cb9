package peppergauge.overload;

/** Validates configuration values. */
final class ConfigChecks {

    private ConfigChecks() {}

    /** @throws IllegalArgumentException naming the parameter and its value, unless {@code isValid} */
    static void require(boolean isValid, String parameter, Object value) {
        if (!isValid) {
            throw new IllegalArgumentException(parameter + " cannot be " + value);
        }
    }
}
