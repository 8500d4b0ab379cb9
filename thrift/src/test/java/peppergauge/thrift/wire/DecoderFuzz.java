package peppergauge.thrift.wire;

import java.util.Arrays;

/**
 * The fuzz test of the message decoder, run by hand with Jazzer (docs/THRIFT.md) and with the corpus by
 * {@link FuzzCorpusTest}. Any input is rejected, or read as messages that survive a round trip through every encoding.
 */
public final class DecoderFuzz {

    private DecoderFuzz() {}

    /** The entry point for Jazzer. */
    public static void fuzzerTestOneInput(byte[] input) {
        check(input);
    }

    static void check(byte[] input) {
        for (int part : new int[] {1 << 20, 3}) {
            try {
                SampleMessages.read(null, input, part).forEach(DecoderFuzz::checkRoundTrips);
            } catch (MalformedMessageException rejected) {
                // Malformed input is expected.
            }
        }
    }

    private static void checkRoundTrips(RawMessage message) {
        RawMessage canonical = message;
        for (Encoding encoding : Encoding.values()) {
            try {
                RawMessage transcoded = MessageRewriter.transcode(message, encoding);
                if (SampleMessages.read(null, transcoded.bytes(), 1 << 24).size() > 1) {
                    throw new IllegalStateException("a message was read as several ones in " + encoding);
                }
                canonical = MessageRewriter.transcode(transcoded, message.encoding());
                FieldReader.fieldIds(canonical);
                FieldReader.find(message, FieldPath.parse("1.2"));
            } catch (MalformedMessageException tooLongOrDuplicateField) {
                continue;
            }
            RawMessage again =
                    MessageRewriter.transcode(MessageRewriter.transcode(canonical, encoding), message.encoding());
            if (!Arrays.equals(again.bytes(), canonical.bytes())) {
                throw new IllegalStateException("a round trip through " + encoding + " changed the message");
            }
        }
    }
}
