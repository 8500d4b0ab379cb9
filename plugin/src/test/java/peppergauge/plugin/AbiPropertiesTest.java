package peppergauge.plugin;

import java.time.ZoneId;
import java.util.Base64;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import peppergauge.plugin.abi.Abi;
import peppergauge.plugin.abi.LocalTime;
import peppergauge.plugin.abi.RecordWriter;
import peppergauge.plugin.abi.RequestView;
import peppergauge.plugin.wat.Assembler;
import peppergauge.request.Message;

/** Any bytes from a plug-in give a valid verdict or a violation of the ABI, and no other exception. */
class AbiPropertiesTest {

    @Property(tries = 3000)
    void decodesAnyBytesAsVerdictOrViolation(@ForAll @Size(max = 300) byte[] bytes) {
        AbiFuzzTarget.checkVerdict(bytes);
    }

    /** Valid header changes of a tag verdict, with random bytes in between. */
    @Property(tries = 3000)
    void appliesAnyTagWithinLimitsOrReportsViolation(
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
        AbiFuzzTarget.checkVerdict(bytes);
    }

    /** Passes random addresses and lengths to each host function and as the location of the verdict. */
    @Property(tries = 300)
    void accessesAnyAddressOrTraps(@ForAll @Size(min = 16, max = 20) byte[] bytes) {
        AbiFuzzTarget.fuzzerTestOneInput(bytes);
    }

    @Property(tries = 500)
    void writesAnyRequestWithinRecordBufferOrReportsViolation(
            @ForAll String tenant,
            @ForAll String path,
            @ForAll @Size(max = 40) List<String> values,
            @ForAll long epochMs) {
        Assume.that(Math.abs(epochMs) < 1L << 50);
        List<Message.Field> fields =
                values.stream().map(value -> new Message.Field("x", value)).toList();
        try {
            byte[] record = RecordWriter.requestRecord(new RequestView(
                    "c",
                    tenant,
                    "k",
                    "GET",
                    path,
                    fields,
                    1,
                    0,
                    false,
                    LocalTime.of(epochMs, ZoneId.of("Asia/Seoul"))));
            if (record.length > Abi.RECORD_BUFFER_BYTES) {
                throw new AssertionError(
                        "record of " + record.length + " bytes, expected at most " + Abi.RECORD_BUFFER_BYTES);
            }
        } catch (Abi.ViolationException expected) {
            // The record is too large.
        }
    }

    @Property(tries = 1000)
    void assemblesAnyTextOrThrowsIllegalArgument(@ForAll @Size(max = 40) List<@From("words") String> words) {
        try {
            Assembler.assemble("(module " + String.join(" ", words) + ")");
        } catch (IllegalArgumentException expected) {
            // The text is not supported.
        }
    }

    @Provide
    Arbitrary<String> words() {
        return Arbitraries.of(
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
