package peppergauge.lab.result;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Results as JSON; the names are the records' components, the order is theirs. */
public final class ResultJson {

    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private ResultJson() {}

    public static String write(RunResult result) throws IOException {
        return JSON.writeValueAsString(result) + "\n";
    }

    /** @throws IOException if it is no result, or of another format */
    public static RunResult read(String text) throws IOException {
        return JSON.readValue(text, RunResult.class);
    }

    /** Writes a file, and the folders above it. */
    public static void write(RunResult result, Path file) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(file, write(result));
    }
}
