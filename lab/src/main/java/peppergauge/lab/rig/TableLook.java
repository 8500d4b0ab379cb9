package peppergauge.lab.rig;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;

/** Asks a daemon at its admin socket which fleet table it holds. */
final class TableLook {

    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    private TableLook() { }

    /** Records what it holds, if it holds one. The time is that of the asking: whoever answered was there then. */
    static void at(Path socket, String reader, Recorder recorder) {
        long atNs = System.nanoTime();
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
            channel.write(ByteBuffer.wrap("fleet\n".getBytes(StandardCharsets.US_ASCII)));
            Matcher version = VERSION.matcher(new String(Channels.newInputStream(channel).readAllBytes(),
                    StandardCharsets.UTF_8));
            if (version.find() && Long.parseLong(version.group(1)) > 0) {
                recorder.add(Event.of(atNs, What.TABLE, reader).counting(Long.parseLong(version.group(1))));
            }
        } catch (IOException gone) {
            // It is down, or was killed meanwhile.
        }
    }
}
