package peppergauge.lab.result;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.testng.annotations.Test;

public class ResultJsonTest {

    @Test
    public void resultIsReadAsItWasWritten() throws IOException {
        Histogram histogram = Latency.empty();
        Latency.record(histogram, 12.5);
        Latency.record(histogram, 7_200_000);
        RunResult result = new RunResult(
                RunResult.FORMAT,
                "calm",
                "emulate",
                7,
                20,
                "ab",
                List.of(new RunResult.Broken("drain", 3, "sent", List.of("1 x"))),
                new RunResult.Totals(1, 2, 1.5, 1, 0, 0, 1, 1, 0, 0, 1, 0, 80, 0),
                List.of(new RunResult.ClassResult("list", 1, 2, 1.5, Latency.of(histogram))),
                List.of(new RunResult.Second(0, 2, 1.5, 1, 1, 1, 0, 0, 0, 12.5, 12.5)),
                List.of(new RunResult.ServerResult("a-1", "a", "north", List.of(-1), List.of(1.0), List.of(0.5))),
                List.of(new RunResult.ScriptEvent(1, 20, "slow", "all")));
        RunResult readResult = ResultJson.read(ResultJson.write(result));
        assertEquals(readResult, result);
        assertEquals(readResult.classes().get(0).latency().decoded(), histogram);
    }

    @Test
    public void rejectsOtherFormat() {
        assertThrows(IOException.class, () -> ResultJson.read("{\"format\": 2}"));
    }
}
