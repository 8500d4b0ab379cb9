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
 * The way from one process to another: a port of its own, whose connections are passed on to wherever the called
 * process listens now, under the conditions that hold. All methods but the constructor and {@link #address} are for
 * the loop's thread only.
 */
public final class Link {

    private final Loop loop;
    private final Supplier<Tap> taps;
    private final Listener listener;
    private final Set<Flow> flows = new LinkedHashSet<>();
    private final List<Condition> conditions = new ArrayList<>();
    private InetSocketAddress target;
    /** What the port does: an order in which the strongest of what holds wins. */
    private Port port = Port.OPEN;

    private enum Port {
        OPEN,
        REFUSED,
        SILENT
    }

    /**
     * Opens a port; until it has a target connections are reset.
     *
     * @param host a loopback address of its own, since the port is shut and opened again
     * @param taps one for each connection
     * @throws IOException if none can be had
     */
    public Link(Loop loop, InetAddress host, Supplier<Tap> taps) throws IOException {
        this.loop = loop;
        this.taps = taps;
        listener = new Listener(loop, host, this::accepted);
    }

    /** For who calls; any thread. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** The process listens here from now on; null: it is gone, and connections are refused as its system would do. */
    public void to(InetSocketAddress now) {
        target = now;
        sync();
    }

    /** Something is wrong from now on. */
    public void begin(Condition condition) {
        if (condition.what() == FaultKind.RESET) {
            List.copyOf(flows).forEach(Flow::reset);
        } else {
            conditions.add(condition);
            sync();
        }
    }

    /** That is over: what was held back goes on, and what lost something is reset. */
    public void heal(int number) {
        conditions.removeIf(condition -> condition.number() == number);
        List.copyOf(flows).forEach(Flow::healed);
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
        } catch (IOException taken) {
            throw new UncheckedIOException("a link lost its port", taken);
        }
    }

    private boolean has(FaultKind what) {
        return conditions.stream().anyMatch(condition -> condition.what() == what);
    }

    private Loop.Handler accepted(SocketChannel near) throws IOException {
        Flow flow = new Flow(loop, this, near, taps.get());
        flows.add(flow);
        return flow.near();
    }

    InetSocketAddress target() {
        return target;
    }

    void gone(Flow flow) {
        flows.remove(flow);
    }

    /** The largest size of what holds for a connection; 0 if nothing of the kind does. */
    double size(FaultKind what, long bornNs) {
        return conditions.stream()
                .filter(one -> one.what() == what && one.holds(bornNs))
                .mapToDouble(one -> Math.max(one.size(), Double.MIN_VALUE))
                .max()
                .orElse(0);
    }

    boolean holds(FaultKind what, long bornNs) {
        return size(what, bornNs) > 0;
    }
}
