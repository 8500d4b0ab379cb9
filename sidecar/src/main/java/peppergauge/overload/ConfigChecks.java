package peppergauge.overload;

/** Validates configuration values. */
final class ConfigChecks {

    private ConfigChecks() {}

    /** @throws IllegalArgumentException naming the parameter, its value and its valid range, unless {@code isValid} */
    static void require(boolean isValid, String parameter, Object value, String expected) {
        if (!isValid) {
            throw new IllegalArgumentException(parameter + " is " + value + ", expected " + expected);
        }
    }
}
