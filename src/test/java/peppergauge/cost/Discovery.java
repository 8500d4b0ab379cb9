package peppergauge.cost;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** Discovery's stand-in: each watch gets the whole table, and then an empty line every 2 s, as nothing changes. */
final class Discovery {

    private static final long HEARTBEAT_NS = 2_000_000_000L;

    private final Loop loop;
    private final String table;

    Discovery(Loop loop, String table) {
        this.loop = loop;
        this.table = table;
    }

    Peer accepted(SocketChannel channel) throws IOException {
        return new Peer(channel) {
            @Override
            void received(Message message) throws IOException {
                if (message.word(1).contains("watch=1")) {
                    write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(table + "\n")));
                    beatAt(this, System.nanoTime() + HEARTBEAT_NS);
                } else {
                    write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + table.length() + "\r\n\r\n" + table));
                }
            }
        };
    }

    private void beatAt(Peer watcher, long atNs) {
        loop.at(atNs, () -> {
            try {
                if (watcher.isOpen()) {
                    watcher.write(ascii(chunk("\n")));
                    beatAt(watcher, atNs + HEARTBEAT_NS);
                }
            } catch (IOException gone) {
                watcher.close();
            }
        });
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
