package peppergauge.decision;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Repeats recorded calls and compares every answer with the recorded one. The recordings hold emulated incidents and
 * random loads with every kind of event; {@code peppergauge.lab.emulator.RecordDecisions} in the lab's tests makes them.
 */
public class DecisionRecordingTest {

    private static final Path FOLDER = Path.of("src/test/resources/decision-recordings");
    private static final long LEAST_EVENTS = 20_000;

    @DataProvider
    public Object[][] recordings() throws IOException {
        try (var files = Files.list(FOLDER)) {
            return files.sorted().map(file -> new Object[] {file}).toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "recordings")
    public void answersAsRecorded(Path recording) throws IOException {
        long events = DecisionRecording.replay(recording, AdaptiveLoadBalancer::new);
        assertTrue(events > 0, recording.toString());
    }

    @Test
    public void theRecordingsHoldEnoughEvents() throws IOException {
        long events = 0;
        try (var files = Files.list(FOLDER)) {
            for (Path file : files.toList()) {
                events += DecisionRecording.replay(file, AdaptiveLoadBalancer::new);
            }
        }
        System.out.println("compared with the recordings: " + events + " events, 0 differences");
        assertTrue(events >= LEAST_EVENTS, events + " events");
    }

    @Test
    public void anotherSeedIsFoundOut() throws IOException {
        Path any = FOLDER.resolve("random-1.gz");
        String found = "";
        try {
            DecisionRecording.replay(any, (settings, seed) -> new AdaptiveLoadBalancer(settings, seed + 1));
        } catch (AssertionError difference) {
            found = difference.getMessage();
        }
        assertTrue(found.contains("recorded " + List.of().toString().charAt(0)), found);
    }
}
