package peppergauge.thrift.wire;

/**
 * A field's value and where it stands.
 *
 * @param type one of the library's {@code TType}
 * @param start of its bytes in the message
 * @param end of its bytes in the message
 * @param text of a string or whole number; null of anything else, and of a string that is no UTF-8
 * @param number of a number that is whole or rounded down to it; NaN of anything else
 */
public record Value(byte type, int start, int end, String text, double number) {}
