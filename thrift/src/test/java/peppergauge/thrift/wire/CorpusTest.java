package peppergauge.thrift.wire;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** The fuzzer's corpus again, in every build. */
public class CorpusTest {

    @Test
    public void whatTheFuzzerFoundWorthKeepingStillHolds() throws IOException {
        try (var files = Files.list(Path.of("src/test/corpus"))) {
            List<Path> all = files.toList();
            assertTrue(all.size() > 10, "the corpus is gone");
            for (Path file : all) {
                DecoderFuzz.check(Files.readAllBytes(file));
            }
        }
    }
}
