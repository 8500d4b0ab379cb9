package peppergauge.plugin;

import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** What the fuzzer found to lead somewhere new, again each time. */
public class CorpusTest {

    @Test
    public void whatTheFuzzerKeptIsAVerdictOrBroken() throws Exception {
        try (var files = Files.list(Path.of("src/test/corpus"))) {
            List<Path> all = files.toList();
            for (Path file : all) {
                FuzzBorder.fuzzerTestOneInput(Files.readAllBytes(file));
            }
            assertTrue(all.size() > 20, "a corpus of " + all.size());
        }
    }
}
