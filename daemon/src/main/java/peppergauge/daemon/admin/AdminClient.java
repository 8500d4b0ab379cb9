package peppergauge.daemon.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import peppergauge.settings.JsonTree;

/** Asks a running program. */
public final class AdminClient {

    private static final int LONGEST_ANSWER = 1 << 20;

    private AdminClient() {}

    /**
     * Waits for as long as the command takes.
     *
     * @throws IOException if nobody answers there, or not with what it should
     */
    public static Map<String, Object> ask(AdminAddress where, String command) throws IOException {
        try (SocketChannel channel = SocketChannel.open(where.address())) {
            channel.write(ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.US_ASCII)));
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            ByteBuffer part = ByteBuffer.allocate(8_192);
            while (channel.read(part) >= 0 && answer.size() < LONGEST_ANSWER) {
                answer.write(part.array(), 0, part.position());
                part.clear();
            }
            byte[] bytes = answer.toByteArray();
            return JsonTree.parse(bytes, 0, bytes.length);
        } catch (IllegalArgumentException malformed) {
            throw new IOException("the answer is " + malformed.getMessage(), malformed);
        }
    }
}
