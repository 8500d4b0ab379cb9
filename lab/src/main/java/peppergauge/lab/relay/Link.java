package peppergauge.lab.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import peppergauge.lab.fault.FaultKind;
import peppergauge.lab.wire.Listener;
import peppergauge.lab.wire.Loop;

/**
 * A relay from one process to another: a port whose connections are forwarded to the current address of the called
 * process, under the faults in effect. All methods but the constructor and {@link #address} are for the loop's thread
 * only.
 */
public final class Link {

    private final Loop loop;
    private final Supplier<ConnectionObserver> observers;
    private final Listener listener;
    private final Set<RelayConnection> connections = new LinkedHashSet<>();
    private final List<LinkFault> faults = new ArrayList<>();
    private InetSocketAddress target;
    /** How the port currently treats new connections. */
    private Port port = Port.OPEN;

    private enum Port {
        OPEN,
        REFUSED,
        SILENT
    }

    /**
     * Opens a port. Connections are reset until the link has a target.
     *
     * @param host a loopback address that nothing else uses, since the port is closed and opened again
     * @param observers creates the observer of each connection
     * @throws IOException if no port can be opened
     */
    public Link(Loop loop, InetAddress host, Supplier<ConnectionObserver> observers) throws IOException {
        this.loop = loop;
        this.observers = observers;
        listener = new Listener(loop, host, this::accepted);
    }

    /** Returns the address to which callers connect. For any thread. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Sets the called process's address; null if the process is down, so that connections are refused. */
    public void setTarget(InetSocketAddress newTarget) {
        target = newTarget;
        sync();
    }

    /** Applies a fault from now on; a reset takes effect once, on all open connections. */
    public void begin(LinkFault fault) {
        if (fault.what() == FaultKind.RESET) {
            List.copyOf(connections).forEach(RelayConnection::reset);
        } else {
            faults.add(fault);
            sync();
        }
    }

    /** Ends a fault: delayed bytes are forwarded, and connections that lost bytes are reset. */
    public void endFault(int number) {
        faults.removeIf(fault -> fault.number() == number);
        List.copyOf(connections).forEach(RelayConnection::endFault);
        sync();
    }

    private void sync() {
        Port now = has(FaultKind.CUT_NEW) || has(FaultKind.DROP) || has(FaultKind.DROP_OUT) || has(FaultKind.DROP_BACK)
                ? Port.SILENT
                : target == null ? Port.REFUSED : Port.OPEN;
        if (now == port) {
            return;
        }
        port = now;
        try {
            switch (now) {
                case OPEN -> listener.reopen();
                case REFUSED -> listener.close();
                case SILENT -> listener.silence();
            }
        } catch (IOException failed) {
            throw new UncheckedIOException("cannot listen again on the port of a link: " + address(), failed);
        }
    }

    private boolean has(FaultKind what) {
        return faults.stream().anyMatch(fault -> fault.what() == what);
    }

    private Loop.Handler accepted(SocketChannel accepted) throws IOException {
        RelayConnection connection = new RelayConnection(loop, this, accepted, observers.get());
        connections.add(connection);
        return connection.clientEnd();
    }

    InetSocketAddress target() {
        return target;
    }

    void remove(RelayConnection connection) {
        connections.remove(connection);
    }

    /** Returns the largest size of the faults of a kind that affect a connection; 0 if there is none. */
    double size(FaultKind what, long openedNs) {
        return faults.stream()
                .filter(fault -> fault.what() == what && fault.holds(openedNs))
                .mapToDouble(fault -> Math.max(fault.size(), Double.MIN_VALUE))
                .max()
                .orElse(0);
    }

    boolean holds(FaultKind what, long openedNs) {
        return size(what, openedNs) > 0;
    }
}
