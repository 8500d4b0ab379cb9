package peppergauge.decision;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays recorded events and compares all actions with the recorded ones, to detect changed decisions. The recordings
 * contain emulated incidents and random loads with every kind of event. {@code RecordDecisions} in the tests of the lab
 * writes them. After a change of the arithmetic alone, {@link RewriteAnswers} replaces the answers.
 */
public class DecisionRecordingTest {

    private static final Path FOLDER = Path.of("src/test/resources/decision-recordings");
    private static final long MIN_EVENTS = 20_000;

    @DataProvider
    public Object[][] recordings() throws IOException {
        try (var files = Files.list(FOLDER)) {
            return files.sorted().map(file -> new Object[] {file}).toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "recordings")
    public void actionsEqualRecordedActions(Path recording) throws IOException {
        long events = DecisionRecording.replay(recording, AdaptiveLoadBalancer::new);
        assertTrue(events > 0, "expected events in " + recording);
    }

    @Test
    public void recordingsContainEnoughEvents() throws IOException {
        long events = 0;
        try (var files = Files.list(FOLDER)) {
            for (Path file : files.toList()) {
                events += DecisionRecording.replay(file, AdaptiveLoadBalancer::new);
            }
        }
        System.out.println("compared with the recordings: " + events + " events, 0 differences");
        assertTrue(events >= MIN_EVENTS, "expected at least " + MIN_EVENTS + " events but was " + events);
    }

    @Test
    public void replayWithAnotherSeedFails() throws IOException {
        Path recording = FOLDER.resolve("random-1.gz");
        String message = "";
        try {
            DecisionRecording.replay(recording, (settings, seed) -> new AdaptiveLoadBalancer(settings, seed + 1));
        } catch (AssertionError difference) {
            message = difference.getMessage();
        }
        assertTrue(message.contains("recorded ["), message);
    }
}
