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
import peppergauge.nomad.wire.Work;
import peppergauge.request.EndpointUpdate;
import peppergauge.settings.JsonTree;

/** The table in a file, in the form of the platform's discovery: what a restart begins with while Nomad is away. */
final class LastTable {

    private static final int MOST_BYTES = 16 << 20;

    private final Path file;
    private final Work work;

    LastTable(Path file, Work work) {
        this.file = file;
        this.work = work;
    }

    /** Empty if there is none, or none that can be used. */
    List<EndpointUpdate.EndpointAddress> read() {
        try (var in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes(MOST_BYTES);
            return new EndpointUpdateReader(List.of())
                    .read(JsonTree.parse(bytes, 0, bytes.length))
                    .endpoints();
        } catch (IOException | IllegalArgumentException unusable) {
            Log.event("last_table_unusable", "file", file, "error", unusable);
            return List.of();
        }
    }

    /** Writes it beside the loop, as a whole or not at all. */
    void write(EndpointUpdate table) {
        work.run(
                () -> {
                    try {
                        Path fresh = file.resolveSibling(file.getFileName() + ".new");
                        text(fresh, table);
                        return Files.move(
                                fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                    } catch (IOException failed) {
                        throw new UncheckedIOException(failed);
                    }
                },
                written -> {},
                why -> Log.event("last_table_write_failed", "file", file, "error", why));
    }

    private static void text(Path to, EndpointUpdate table) throws IOException {
        try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(to))) {
            json.writeStartObject();
            json.writeNumberField("version", table.version());
            json.writeBooleanField("full", true);
            json.writeArrayFieldStart("servers");
            for (EndpointUpdate.EndpointAddress row : table.endpoints()) {
                json.writeStartObject();
                json.writeStringField("id", row.endpoint().server());
                json.writeStringField("addr", row.address());
                json.writeNumberField("zone", row.endpoint().zone());
                json.writeNumberField("cell", row.endpoint().cell());
                json.writeStringField("state", row.endpoint().state() == EndpointState.READY ? "active" : "leaving");
                json.writeNumberField("started_ms", row.endpoint().startedMs());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
    }
}
