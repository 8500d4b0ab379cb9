package peppergauge.thrift.wire;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Runs the fuzz test's corpus in every build. */
public class FuzzCorpusTest {

    @Test
    public void readsOrRejectsEachInputOfTheCorpus() throws IOException {
        try (var files = Files.list(Path.of("src/test/corpus"))) {
            List<Path> all = files.toList();
            assertTrue(all.size() > 10, "the corpus has more than 10 files");
            for (Path file : all) {
                DecoderFuzz.check(Files.readAllBytes(file));
            }
        }
    }
}
