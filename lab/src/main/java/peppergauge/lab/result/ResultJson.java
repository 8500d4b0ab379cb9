package peppergauge.lab.result;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and writes results as JSON; its fields are the components of the records, in their order. */
public final class ResultJson {

    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private ResultJson() {}

    /** Returns a result as indented JSON that ends with a line break. */
    public static String write(RunResult result) throws IOException {
        return JSON.writeValueAsString(result) + "\n";
    }

    /** @throws IOException if the text is not a result, or has another format */
    public static RunResult read(String text) throws IOException {
        return JSON.readValue(text, RunResult.class);
    }

    /** Writes a result to a file and creates the directories above it. */
    public static void write(RunResult result, Path file) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(file, write(result));
    }
}
