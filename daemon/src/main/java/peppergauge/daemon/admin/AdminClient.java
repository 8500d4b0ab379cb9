package peppergauge.daemon.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import peppergauge.settings.JsonTree;

/** Sends commands to a running daemon. */
public final class AdminClient {

    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private AdminClient() {}

    /**
     * Sends one command and waits for its response.
     *
     * @throws IOException if nothing listens on the address or the response is malformed
     */
    public static Map<String, Object> send(AdminAddress address, String command) throws IOException {
        try (SocketChannel channel = SocketChannel.open(address.address())) {
            channel.write(ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.US_ASCII)));
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            ByteBuffer chunk = ByteBuffer.allocate(8_192);
            while (channel.read(chunk) >= 0 && response.size() < MAX_RESPONSE_BYTES) {
                response.write(chunk.array(), 0, chunk.position());
                chunk.clear();
            }
            byte[] bytes = response.toByteArray();
            return JsonTree.parse(bytes, 0, bytes.length);
        } catch (IllegalArgumentException malformed) {
            throw new IOException("the response is " + malformed.getMessage(), malformed);
        }
    }
}
