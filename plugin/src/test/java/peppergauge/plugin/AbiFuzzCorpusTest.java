package peppergauge.plugin;

import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Repeats the inputs of the fuzzer that reached new code. */
public class AbiFuzzCorpusTest {

    @Test
    public void decodesCorpusAsVerdictOrViolation() throws Exception {
        try (var files = Files.list(Path.of("src/test/corpus"))) {
            List<Path> all = files.toList();
            for (Path file : all) {
                AbiFuzzTarget.fuzzerTestOneInput(Files.readAllBytes(file));
            }
            assertTrue(all.size() > 20, "corpus has " + all.size() + " inputs, expected more than 20");
        }
    }
}
