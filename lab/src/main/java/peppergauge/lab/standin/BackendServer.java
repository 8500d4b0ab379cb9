package peppergauge.lab.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import peppergauge.lab.wire.Listener;
import peppergauge.lab.wire.Loop;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.MessageCodec;

/**
 * A stand-in for a backend server: a port whose requests a {@link RequestHandler} answers. It can be killed, made
 * silent and brought back under the same address. All methods but the constructors are for the loop's thread only. The
 * one of package soak blocks and draws its own faults; the one of package emulator is a model without sockets.
 */
public final class BackendServer implements Closeable {

    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private final Listener listener;

    /**
     * Opens a free port that uses HTTP.
     *
     * @throws IOException if no port can be opened
     */
    public BackendServer(Loop loop, RequestHandler service) throws IOException {
        this(loop, () -> MessageCodec.HTTP, service);
    }

    /**
     * Opens a free port.
     *
     * @param codecs creates the codec of each connection
     * @throws IOException if no port can be opened
     */
    public BackendServer(Loop loop, Supplier<MessageCodec> codecs, RequestHandler service) throws IOException {
        RequestHandler trackingService = new RequestHandler() {
            @Override
            public void opened(ServerConnection connection) {
                connections.add(connection);
                service.opened(connection);
            }

            @Override
            public void asked(Message request, ServerConnection connection) throws IOException {
                service.asked(request, connection);
            }

            @Override
            public void closed(ServerConnection connection) {
                connections.remove(connection);
                service.closed(connection);
            }
        };
        listener = new Listener(loop, channel -> new ServerConnection(channel, codecs.get(), trackingService));
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return listener.text();
    }

    /** Returns the address to which clients connect. */
    public InetSocketAddress socketAddress() {
        return listener.address();
    }

    /** Acts as a killed process: resets open connections and refuses new ones. */
    public void die() throws IOException {
        listener.close();
        resetAll();
    }

    /** Acts as a host that disappeared: open connections stay open and silent, new ones are never established. */
    public void vanish() throws IOException {
        connections.forEach(ServerConnection::mute);
        listener.silence();
    }

    /** Listens again under the same address, and resets connections from before. */
    public void comeBack() throws IOException {
        resetAll();
        listener.reopen();
    }

    private void resetAll() {
        for (ServerConnection connection : List.copyOf(connections)) {
            connection.reset();
            connection.broken();
        }
    }

    @Override
    public void close() throws IOException {
        die();
    }
}
