package peppergauge.lab.standin;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.MessageCodec;
import peppergauge.lab.wire.Peer;

/** A client's connection to a stand-in for a backend server. */
public final class ServerConnection extends Peer {

    private final RequestHandler service;

    ServerConnection(SocketChannel channel, MessageCodec codec, RequestHandler service) throws IOException {
        super(channel, codec);
        this.service = service;
        service.opened(this);
    }

    @Override
    protected void received(Message message) throws IOException {
        service.asked(message, this);
    }

    @Override
    public void broken() {
        service.closed(this);
    }

    /**
     * Writes a response.
     *
     * @param status code and reason, as in {@code 200 OK}
     * @param headers each with its line end; may be empty
     * @throws IOException if the client does not read, or the connection has failed
     */
    public void answer(String status, String headers, String body) throws IOException {
        write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
    }
}
