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
import peppergauge.nomad.wire.Agent;
import peppergauge.nomad.wire.Agents;
import peppergauge.nomad.wire.Backoff;
import peppergauge.nomad.wire.Bounds;
import peppergauge.nomad.wire.Json;
import peppergauge.nomad.wire.Lines;

public class WireTest {

    private final Json json = new Json(new Bounds(1_000, 5, 3));

    @DataProvider
    public Object[][] refused() {
        return new Object[][] {
            {"", "no JSON value"}, {"{", "not valid JSON"}, {"[1,2,3,4]", "over 3 entries"},
            {"[[[[[[1]]]]]]", "nested too deeply"}, {"{}{}", "more than one"}, {"nonsense", "not valid JSON"},
            {"{\"Job\":{\"a\":[[[[[[1]]]]]]}}", "nested too deeply"},
        };
    }

    @Test(dataProvider = "refused")
    public void whatIsBeyondTheBoundsIsRefused(String text, String why) {
        IllegalArgumentException told = expectThrows(
                IllegalArgumentException.class, () -> json.read(text.getBytes(StandardCharsets.UTF_8), false));
        assertTrue(told.getMessage().contains(why), told.getMessage());
    }

    @Test
    public void onlyWhatIsUsedIsKept() {
        assertEquals(
                json.read(
                                "{\"ID\":\"x\",\"Job\":{\"ID\":1},\"Meta\":{\"any\":\"1\"}}"
                                        .getBytes(StandardCharsets.UTF_8),
                                false)
                        .toString(),
                "{ID=x, Meta={any=1}}");
    }

    @Test
    public void linesAreCutWhereverReadsEndAndHalfALineIsNone() throws Exception {
        List<String> lines = new ArrayList<>();
        Lines cut = new Lines(8, line -> lines.add(new String(line, StandardCharsets.UTF_8)));
        for (String part : new String[] {"{}\n{\"a", "\":1}\n\n", "{\"hal"}) {
            cut.part(ByteBuffer.wrap(part.getBytes(StandardCharsets.UTF_8)));
        }
        assertEquals(lines, List.of("{}", "{\"a\":1}"));
        expectThrows(java.io.IOException.class, () -> cut.part(ByteBuffer.wrap(new byte[9])));
    }

    @Test
    public void waitsDoubleWithinTheirBoundAndSpread() {
        Backoff backoff = new Backoff(100, 1_000, new Random(1));
        double[] most = {100, 200, 400, 800, 1_000, 1_000};
        for (double each : most) {
            double wait = backoff.failed();
            assertTrue(wait >= each / 2 && wait <= each, wait + " of " + each);
        }
        backoff.worked();
        assertTrue(backoff.failed() <= 100);
    }

    @Test
    public void agentsAreTriedInTurn() {
        Agents agents = new Agents(List.of(Agent.of("a:1"), Agent.of("[::1]:2")));
        agents.next();
        assertEquals(agents.present().toString(), "[::1]:2");
        agents.next();
        assertEquals(agents.present().toString(), "a:1");
        expectThrows(IllegalArgumentException.class, () -> Agent.of("nowhere"));
    }
}
