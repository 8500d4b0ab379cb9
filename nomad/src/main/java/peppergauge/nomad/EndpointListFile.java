package peppergauge.nomad;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.discovery.EndpointUpdateReader;
import peppergauge.log.Log;
import peppergauge.nomad.api.BackgroundExecutor;
import peppergauge.request.EndpointUpdate;
import peppergauge.settings.JsonTree;

/**
 * File that persists the endpoint list for a restart while no source responds. It has the format of discovery's updates
 * and is replaced atomically, in the background.
 */
final class EndpointListFile {

    private static final int MAX_BYTES = 16 << 20;

    private final Path file;
    private final BackgroundExecutor background;

    EndpointListFile(Path file, BackgroundExecutor background) {
        this.file = file;
        this.background = background;
    }

    /** Reads the list; returns an empty list if the file is missing or invalid. */
    List<EndpointUpdate.EndpointAddress> read() {
        try (var in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes(MAX_BYTES);
            return new EndpointUpdateReader(List.of())
                    .read(JsonTree.parse(bytes, 0, bytes.length))
                    .endpoints();
        } catch (IOException | IllegalArgumentException invalid) {
            Log.event("last_table_unusable", "file", file, "error", invalid);
            return List.of();
        }
    }

    /** Writes the list in the background. */
    void write(EndpointUpdate list) {
        background.submit(
                () -> {
                    try {
                        Path temporary = file.resolveSibling(file.getFileName() + ".new");
                        writeJson(temporary, list);
                        return Files.move(
                                temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                    } catch (IOException writeFailed) {
                        throw new UncheckedIOException(writeFailed);
                    }
                },
                written -> {},
                error -> Log.event("last_table_write_failed", "file", file, "error", error));
    }

    private static void writeJson(Path path, EndpointUpdate list) throws IOException {
        try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(path))) {
            json.writeStartObject();
            json.writeNumberField("version", list.version());
            json.writeBooleanField("full", true);
            json.writeArrayFieldStart("servers");
            for (EndpointUpdate.EndpointAddress each : list.endpoints()) {
                json.writeStartObject();
                json.writeStringField("id", each.endpoint().server());
                json.writeStringField("addr", each.address());
                json.writeNumberField("zone", each.endpoint().zone());
                json.writeNumberField("cell", each.endpoint().cell());
                json.writeStringField("state", each.endpoint().state() == EndpointState.READY ? "active" : "leaving");
                json.writeNumberField("started_ms", each.endpoint().startedMs());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
    }
}
