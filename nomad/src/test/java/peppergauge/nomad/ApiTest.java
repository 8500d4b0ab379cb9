package peppergauge.nomad;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.nomad.api.AgentAddress;
import peppergauge.nomad.api.AgentRotation;
import peppergauge.nomad.api.Backoff;
import peppergauge.nomad.api.BoundedJsonReader;
import peppergauge.nomad.api.LineSplitter;
import peppergauge.nomad.api.ResponseLimits;

public class ApiTest {

    private final BoundedJsonReader json = new BoundedJsonReader(new ResponseLimits(1_000, 5, 3));

    @DataProvider
    public Object[][] invalidJson() {
        return new Object[][] {
            {"", "no JSON value"}, {"{", "not valid JSON"}, {"[1,2,3,4]", "more than 3 entries"},
            {"[[[[[[1]]]]]]", "nested too deeply"}, {"{}{}", "more than one"}, {"nonsense", "not valid JSON"},
            {"{\"Job\":{\"a\":[[[[[[1]]]]]]}}", "nested too deeply"},
        };
    }

    @Test(dataProvider = "invalidJson")
    public void rejectsInvalidOrTooLargeJson(String text, String expectedMessage) {
        IllegalArgumentException thrown = expectThrows(
                IllegalArgumentException.class, () -> json.read(text.getBytes(StandardCharsets.UTF_8), false));
        assertTrue(thrown.getMessage().contains(expectedMessage), thrown.getMessage());
    }

    @Test
    public void keepsOnlyUsedFields() {
        assertEquals(
                json.read(
                                "{\"ID\":\"x\",\"Job\":{\"ID\":1},\"Meta\":{\"any\":\"1\"}}"
                                        .getBytes(StandardCharsets.UTF_8),
                                false)
                        .toString(),
                "{ID=x, Meta={any=1}}");
    }

    @Test
    public void splitsLinesAcrossReadsAndDropsUnterminatedLine() throws Exception {
        List<String> lines = new ArrayList<>();
        LineSplitter splitter = new LineSplitter(8, line -> lines.add(new String(line, StandardCharsets.UTF_8)));
        for (String part : new String[] {"{}\n{\"a", "\":1}\n\n", "{\"hal"}) {
            splitter.write(ByteBuffer.wrap(part.getBytes(StandardCharsets.UTF_8)));
        }
        assertEquals(lines, List.of("{}", "{\"a\":1}"));
        expectThrows(java.io.IOException.class, () -> splitter.write(ByteBuffer.wrap(new byte[9])));
    }

    @Test
    public void delaysDoubleUpToMaximumWithJitter() {
        Backoff backoff = new Backoff(100, 1_000, new Random(1));
        double[] maxDelaysMs = {100, 200, 400, 800, 1_000, 1_000};
        for (double maxMs : maxDelaysMs) {
            double delayMs = backoff.nextDelayMs();
            assertTrue(
                    delayMs >= maxMs / 2 && delayMs <= maxMs,
                    "expected between " + maxMs / 2 + " and " + maxMs + " ms, got " + delayMs);
        }
        backoff.reset();
        assertTrue(backoff.nextDelayMs() <= 100);
    }

    @Test
    public void rotatesAgents() {
        AgentRotation agents = new AgentRotation(List.of(AgentAddress.of("a:1"), AgentAddress.of("[::1]:2")));
        agents.rotate();
        assertEquals(agents.current().toString(), "[::1]:2");
        agents.rotate();
        assertEquals(agents.current().toString(), "a:1");
        expectThrows(IllegalArgumentException.class, () -> AgentAddress.of("nowhere"));
    }
}
