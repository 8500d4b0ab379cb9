package peppergauge.plugin;

import java.util.Base64;
import java.util.List;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import peppergauge.plugin.abi.Abi;
import peppergauge.plugin.abi.LocalTime;
import peppergauge.plugin.abi.RecordWriter;
import peppergauge.plugin.abi.SessionView;
import peppergauge.plugin.wat.Assembler;
import peppergauge.request.Message;

/** Whatever a plug-in writes, the outcome is a verdict within all bounds, or a broken one, and nothing else. */
class BorderPropertiesTest {

    @Property(tries = 3000)
    void anyBytesAreAVerdictOrBroken(@ForAll @Size(max = 300) byte[] bytes) {
        FuzzBorder.judge(bytes);
    }

    /** Nearly right: the head of a verdict, then anything. */
    @Property(tries = 3000)
    void anyTagIsAppliedWithinBoundsOrBroken(
            @ForAll @IntRange(min = 0, max = 40) int count, @ForAll @Size(max = 200) byte[] rest) {
        byte[] bytes = new byte[rest.length + 2];
        bytes[0] = 1;
        bytes[1] = (byte) count;
        System.arraycopy(rest, 0, bytes, 2, rest.length);
        for (int i = 2; i + 4 <= bytes.length; i += 12) {
            bytes[i] = (byte) (1 + (bytes[i] & 1));
            bytes[i + 1] = 5;
            bytes[i + 2] = 3;
            bytes[i + 3] = 0;
        }
        FuzzBorder.judge(bytes);
    }

    /** Any pointers and lengths, to any import, and as a verdict's place. */
    @Property(tries = 300)
    void anyPlaceIsReachedOrATrap(@ForAll @Size(min = 16, max = 20) byte[] bytes) {
        FuzzBorder.fuzzerTestOneInput(bytes);
    }

    @Property(tries = 500)
    void anySessionIsWrittenWithinTheInboxOrRefused(
            @ForAll String tenant,
            @ForAll String path,
            @ForAll @Size(max = 40) List<String> values,
            @ForAll long epochMs) {
        Assume.that(Math.abs(epochMs) < 1L << 50);
        List<Message.Field> fields =
                values.stream().map(value -> new Message.Field("x", value)).toList();
        try {
            byte[] record = RecordWriter.session(new SessionView(
                    "c",
                    tenant,
                    "k",
                    "GET",
                    path,
                    fields,
                    1,
                    0,
                    false,
                    LocalTime.of(epochMs, java.time.ZoneId.of("Asia/Seoul"))));
            if (record.length > Abi.INBOX) {
                throw new AssertionError("a record of " + record.length);
            }
        } catch (Abi.Broken expected) {
            // Too large.
        }
    }

    @Property(tries = 1000)
    void anyTextIsAssembledOrNamed(@ForAll @Size(max = 40) List<@net.jqwik.api.From("words") String> words) {
        try {
            Assembler.assemble("(module " + String.join(" ", words) + ")");
        } catch (IllegalArgumentException expected) {
            // Says why.
        }
    }

    @net.jqwik.api.Provide
    net.jqwik.api.Arbitrary<String> words() {
        return net.jqwik.api.Arbitraries.of(
                "(",
                ")",
                "func",
                "$f",
                "(param i32)",
                "(result i32)",
                "local.get",
                "0",
                "i32.const",
                "-1",
                "loop",
                "end",
                "br",
                "memory",
                "export",
                "\"x\"",
                "data",
                "\\",
                "(i32.const 0)",
                "if",
                "then",
                Base64.getEncoder().encodeToString(new byte[] {1, 2, 3}));
    }
}
