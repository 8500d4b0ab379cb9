package peppergauge.decision;

/**
 * Powers with a whole exponent, by multiplication alone. Unlike {@link Math#pow}, whose last bit may differ between
 * kinds of machine, and between the interpreter and the compilers, each multiplication has one defined result.
 */
final class IntegerPower {

    private IntegerPower() {}

    /**
     * Raises a value to a power by repeated squaring.
     *
     * @param exponent 0 or more
     */
    static double of(double value, int exponent) {
        double power = 1;
        double square = value;
        for (int bits = exponent; bits > 0; bits >>= 1) {
            if ((bits & 1) == 1) {
                power *= square;
            }
            square *= square;
        }
        return power;
    }
}
