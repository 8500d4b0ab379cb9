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
import peppergauge.lab.wire.Speech;

/**
 * A backend server's stand-in: a port whose requests a {@link Service} answers, and which can die, vanish and come
 * back under the same address. All methods but the constructor are for the loop's thread only.
 */
public final class BackendServer implements Closeable {

    private final Set<Exchange> connections = new LinkedHashSet<>();
    private final Listener listener;

    /**
     * Opens a free port, for HTTP.
     *
     * @throws IOException if none can be had
     */
    public BackendServer(Loop loop, Service service) throws IOException {
        this(loop, () -> Speech.HTTP, service);
    }

    /**
     * Opens a free port.
     *
     * @param speeches one for each connection
     * @throws IOException if none can be had
     */
    public BackendServer(Loop loop, Supplier<Speech> speeches, Service service) throws IOException {
        Service noting = new Service() {
            @Override
            public void opened(Exchange connection) {
                connections.add(connection);
                service.opened(connection);
            }

            @Override
            public void asked(Message request, Exchange connection) throws IOException {
                service.asked(request, connection);
            }

            @Override
            public void closed(Exchange connection) {
                connections.remove(connection);
                service.closed(connection);
            }
        };
        listener = new Listener(loop, channel -> new Exchange(channel, speeches.get(), noting));
    }

    /** As {@code host:port}. */
    public String address() {
        return listener.text();
    }

    /** For who connects. */
    public InetSocketAddress socketAddress() {
        return listener.address();
    }

    /** The process dies: open connections are reset, new ones refused. */
    public void die() throws IOException {
        listener.close();
        resetAll();
    }

    /** The machine is gone: open connections stay open and silent, new ones never come up. */
    public void vanish() throws IOException {
        connections.forEach(Exchange::mute);
        listener.silence();
    }

    /** It is back, under the same address, and knows no connection from before. */
    public void comeBack() throws IOException {
        resetAll();
        listener.reopen();
    }

    private void resetAll() {
        for (Exchange connection : List.copyOf(connections)) {
            connection.reset();
            connection.broken();
        }
    }

    @Override
    public void close() throws IOException {
        die();
    }
}
