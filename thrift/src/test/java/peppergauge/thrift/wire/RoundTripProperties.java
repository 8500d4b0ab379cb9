package peppergauge.thrift.wire;

import static org.testng.Assert.assertEquals;

import java.util.List;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Random messages survive a round trip through any wire format, and random bytes cause no unexpected exception. */
class RoundTripProperties {

    @Property(tries = 400)
    void roundTripThroughAnotherFormatKeepsMessage(
            @ForAll long seed,
            @ForAll WireFormat first,
            @ForAll WireFormat second,
            @ForAll @IntRange(min = 1, max = 300) int part)
            throws MalformedMessageException {
        RawMessage message = SampleMessages.random(first.encoding(), seed);
        Assume.that(Math.max(
                        message.bytes().length,
                        MessageRewriter.transcode(message, second.encoding()).bytes().length)
                <= SampleMessages.LIMITS.maxMessageBytes());
        List<RawMessage> read = SampleMessages.read(first, MessageRewriter.frame(message, first), part);
        RawMessage transcoded = MessageRewriter.transcode(read.get(0), second.encoding());
        List<RawMessage> again = SampleMessages.read(second, MessageRewriter.frame(transcoded, second), part);
        assertEquals(MessageRewriter.transcode(again.get(0), first.encoding()).bytes(), message.bytes());
        assertEquals(
                transcoded.bytes(),
                SampleMessages.random(second.encoding(), seed).bytes());
    }

    @Property(tries = 400)
    void replacingTheSequenceIdKeepsOtherBytes(@ForAll long seed, @ForAll WireFormat format, @ForAll int sequenceId) {
        RawMessage message = SampleMessages.random(format.encoding(), seed);
        RawMessage other = MessageRewriter.withSequenceId(message, sequenceId);
        assertEquals(other.header().sequenceId(), sequenceId);
        assertEquals(
                MessageRewriter.withSequenceId(other, message.header().sequenceId())
                        .bytes(),
                message.bytes());
    }

    /** A message with a changed byte is read or rejected; no other exception is thrown. */
    @Property(tries = 1_000)
    void readsOrRejectsCorruptedMessage(
            @ForAll long seed,
            @ForAll WireFormat format,
            @ForAll @IntRange(min = 0, max = 2_000) int offset,
            @ForAll byte replacement) {
        byte[] bytes = MessageRewriter.frame(SampleMessages.random(format.encoding(), seed), format);
        bytes[offset % bytes.length] = replacement;
        DecoderFuzz.check(bytes);
    }
}
