package peppergauge.thrift.wire;

/**
 * The value of a field and its place in the message.
 *
 * @param type a type of {@code TType}
 * @param start offset of its first byte in the message
 * @param end offset after its last byte
 * @param text of a UTF-8 string, a UUID or an integer; null for any other value
 * @param number of an integer, or of a double rounded down; NaN for any other value
 */
public record FieldValue(byte type, int start, int end, String text, double number) {}
