package peppergauge.thrift.wire;

import java.util.Arrays;

/**
 * What Jazzer runs by hand (docs/THRIFT.md), and {@link CorpusTest} with the corpus: whatever the bytes, they are
 * refused or read to messages that go through every encoding and come back.
 */
public final class DecoderFuzz {

    private DecoderFuzz() {}

    /** Jazzer's entry. */
    public static void fuzzerTestOneInput(byte[] input) {
        check(input);
    }

    static void check(byte[] input) {
        for (int part : new int[] {1 << 20, 3}) {
            try {
                Samples.read(null, input, part).forEach(DecoderFuzz::through);
            } catch (Malformed refused) {
                // As it should be.
            }
        }
    }

    private static void through(RawMessage message) {
        RawMessage canonical = message;
        for (Encoding encoding : Encoding.values()) {
            try {
                RawMessage there = Rewriting.into(message, encoding);
                if (Samples.read(null, there.bytes(), 1 << 24).size() > 1) {
                    throw new IllegalStateException("one message became more");
                }
                canonical = Rewriting.into(there, message.encoding());
                Fields.ids(canonical);
                Fields.find(message, FieldPath.parse("1.2"));
            } catch (Malformed tooLongThereOrTwice) {
                continue;
            }
            RawMessage again = Rewriting.into(Rewriting.into(canonical, encoding), message.encoding());
            if (!Arrays.equals(again.bytes(), canonical.bytes())) {
                throw new IllegalStateException("not the same after " + encoding);
            }
        }
    }
}
