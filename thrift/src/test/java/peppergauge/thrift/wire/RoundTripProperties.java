package peppergauge.thrift.wire;

import static org.testng.Assert.assertEquals;

import java.util.List;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Random messages: what goes through other forms and comes back is the same, and no bytes hurt. */
class RoundTripProperties {

    @Property(tries = 400)
    void aMessageThatGoesThroughAllFormsComesBackAsItWas(
            @ForAll long seed, @ForAll Form first, @ForAll Form second, @ForAll @IntRange(min = 1, max = 300) int part)
            throws Malformed {
        RawMessage message = Samples.random(first.encoding(), seed);
        Assume.that(Math.max(
                        message.bytes().length,
                        Rewriting.into(message, second.encoding()).bytes().length)
                <= Samples.BOUNDS.longestMessage());
        List<RawMessage> read = Samples.read(first, Rewriting.framed(message, first), part);
        RawMessage there = Rewriting.into(read.get(0), second.encoding());
        List<RawMessage> again = Samples.read(second, Rewriting.framed(there, second), part);
        assertEquals(Rewriting.into(again.get(0), first.encoding()).bytes(), message.bytes());
        assertEquals(there.bytes(), Samples.random(second.encoding(), seed).bytes());
    }

    @Property(tries = 400)
    void onlyTheSequenceIdDiffersInTheSameForm(@ForAll long seed, @ForAll Form form, @ForAll int sequence) {
        RawMessage message = Samples.random(form.encoding(), seed);
        RawMessage other = Rewriting.sequence(message, sequence);
        assertEquals(other.head().sequence(), sequence);
        assertEquals(Rewriting.sequence(other, message.head().sequence()).bytes(), message.bytes());
    }

    /** A changed byte makes another message or none, never an exception of another kind. */
    @Property(tries = 1_000)
    void aSpoiltMessageIsRefusedOrReadButNeverThrowsOtherwise(
            @ForAll long seed,
            @ForAll Form form,
            @ForAll @IntRange(min = 0, max = 2_000) int at,
            @ForAll byte instead) {
        byte[] bytes = Rewriting.framed(Samples.random(form.encoding(), seed), form);
        bytes[at % bytes.length] = instead;
        DecoderFuzz.check(bytes);
    }
}
