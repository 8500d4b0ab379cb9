package peppergauge.lab.rig;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URL;
import java.net.URLConnection;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.history.ZoneFactorReport;
import peppergauge.lab.wire.Listener;

/** Records the status of daemons and of instances of the fleet service. Processes that do not respond are skipped. */
final class FleetStatusPoller {

    private static final JsonMapper JSON = new JsonMapper();
    private static final TypeReference<Map<String, Map<String, Double>>> FACTORS = new TypeReference<>() {};
    private static final int TIMEOUT_MS = 1_000;

    private FleetStatusPoller() {}

    /**
     * Records the version of a daemon's table, if it has one, and the factors in force. The time is that of the
     * request, when a responding process must have been running.
     */
    static void recordTable(Path socket, String reader, EventRecorder recorder) {
        long atNs = System.nanoTime();
        JsonNode response = requestFleetStatus(socket);
        if (!response.path("version").isIntegralNumber()) {
            return;
        }
        long version = response.path("version").longValue();
        if (version > 0) {
            recorder.add(Event.of(atNs, EventKind.TABLE, reader).withNumber(version));
        }
        ZoneFactorReport report = new ZoneFactorReport(
                (System.nanoTime() - atNs) / 1e6,
                response.path("lease_left_ms").longValue(),
                JSON.convertValue(response.path("in_force"), FACTORS));
        recorder.add(
                Event.of(atNs, EventKind.STEERED, reader).withNumber(version).withText(report.json()));
    }

    /** Records the results of a daemon's reports and calls since its start. */
    static void recordCounts(Path socket, String reader, EventRecorder recorder) {
        long atNs = System.nanoTime();
        requestFleetStatus(socket)
                .path("counts")
                .properties()
                .forEach(count -> recorder.add(Event.of(atNs, EventKind.HEARD, reader)
                        .withText(count.getKey())
                        .withNumber(count.getValue().asLong())));
    }

    private static JsonNode requestFleetStatus(Path socket) {
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
            channel.write(ByteBuffer.wrap("fleet\n".getBytes(StandardCharsets.US_ASCII)));
            return JSON.readTree(Channels.newInputStream(channel).readAllBytes())
                    .path("fleet");
        } catch (IOException gone) {
            // The daemon does not run or was killed meanwhile.
            return JSON.missingNode();
        }
    }

    /** Records how many daemons an instance knows, and the issuer of the table that it serves. */
    static void recordInstanceStatus(AuxiliaryProcess program, EventRecorder recorder) {
        long atNs = System.nanoTime();
        try {
            URLConnection connection =
                    new URL("http://" + Listener.text(program.listen()) + program.readyPath()).openConnection();
            connection.setConnectTimeout(TIMEOUT_MS);
            connection.setReadTimeout(TIMEOUT_MS);
            JsonNode status = JSON.readTree(connection.getInputStream().readAllBytes());
            recorder.add(Event.of(atNs, EventKind.VIEW, program.name())
                    .withNumber(status.path("daemons").asLong())
                    .withText(status.path("table").path("issuer").asText()));
        } catch (IOException gone) {
            // The instance does not run or was killed meanwhile.
        }
    }
}
