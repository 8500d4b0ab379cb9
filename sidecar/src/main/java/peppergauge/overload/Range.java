package peppergauge.overload;

/** Names a figure that cannot be, at the start rather than in the middle of an overload. */
final class Range {

    private Range() {}

    /** @throws IllegalArgumentException naming the figure, unless it {@code holds} */
    static void require(boolean holds, String figure, Object value) {
        if (!holds) {
            throw new IllegalArgumentException(figure + " cannot be " + value);
        }
    }
}
