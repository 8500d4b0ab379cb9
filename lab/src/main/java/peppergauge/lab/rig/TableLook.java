package peppergauge.lab.rig;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.Leaning;
import peppergauge.lab.history.What;

/** Asks a daemon at its admin socket which fleet table it holds, and what of it is in force. */
final class TableLook {

    private static final JsonMapper JSON = new JsonMapper();
    private static final TypeReference<Map<String, Map<String, Double>>> FACTORS = new TypeReference<>() { };

    private TableLook() { }

    /** Records both. The time is that of the asking: whoever answered was there then. */
    static void at(Path socket, String reader, Recorder recorder) {
        long atNs = System.nanoTime();
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
            channel.write(ByteBuffer.wrap("fleet\n".getBytes(StandardCharsets.US_ASCII)));
            JsonNode told = JSON.readTree(Channels.newInputStream(channel).readAllBytes()).path("fleet");
            if (!told.path("version").isIntegralNumber()) {
                return;
            }
            long version = told.path("version").longValue();
            if (version > 0) {
                recorder.add(Event.of(atNs, What.TABLE, reader).counting(version));
            }
            Leaning leaning = new Leaning((System.nanoTime() - atNs) / 1e6, told.path("lease_left_ms").longValue(),
                    JSON.convertValue(told.path("in_force"), FACTORS));
            recorder.add(Event.of(atNs, What.STEERED, reader).counting(version).saying(leaning.json()));
        } catch (IOException gone) {
            // It is down, or was killed meanwhile.
        }
    }
}
