package peppergauge.lab.flood;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import peppergauge.lab.soak.DaemonThreads;

/**
 * The connections of a flood, on one thread, so that the clients do not take the CPU of the sidecar on a machine with
 * few cores. A connection that ends is opened anew.
 */
final class FloodingClients implements Closeable {

    private static final int MAX_BURST = 100;
    private static final int MIN_PAUSE_MS = 5;
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final int SELECT_MS = 5;
    private static final long RECONNECT_NS = 5_000_000;
    private static final long MS = 1_000_000;

    private final FloodPlan plan;
    private final InetSocketAddress address;
    private final Selector selector = Selector.open();
    private final ByteBuffer input = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final Connection[] connections;
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong readBytes = new AtomicLong();
    private final AtomicLong opened = new AtomicLong();
    private volatile boolean stopped;
    private Thread thread;

    FloodingClients(FloodPlan plan, InetSocketAddress address) throws IOException {
        this.plan = plan;
        this.address = address;
        connections = new Connection[plan.connections()];
        for (int i = 0; i < connections.length; i++) {
            connections[i] = new Connection(i);
        }
    }

    void start() {
        thread = DaemonThreads.start("flood", this::run);
    }

    long sentBytes() {
        return sentBytes.get();
    }

    long readBytes() {
        return readBytes.get();
    }

    long openedConnections() {
        return opened.get();
    }

    private void run() throws IOException {
        while (!stopped) {
            long nowNs = System.nanoTime();
            for (Connection connection : connections) {
                connection.advance(nowNs);
            }
            selector.select(SELECT_MS);
            for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
                ((Connection) key.attachment()).ready(key);
            }
            selector.selectedKeys().clear();
        }
        for (Connection connection : connections) {
            connection.end();
        }
        selector.close();
    }

    /** Ends all connections. */
    @Override
    public void close() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** One connection at a time. */
    private final class Connection {

        private final int number;
        private SocketChannel channel;
        private SelectionKey key;
        private ByteBuffer output = ByteBuffer.allocate(0);
        private int generation;
        private long messages;
        /** When the next connection is opened, the next burst is sent, or the connection is closed. */
        private long nextNs;

        Connection(int number) {
            this.number = number;
        }

        /** Opens, closes, or makes the next messages, when it is time for it. */
        void advance(long nowNs) {
            try {
                if (nowNs - nextNs < 0 && nextNs != 0) {
                    return;
                }
                if (channel == null) {
                    open();
                } else if (messages > 0 && !plan.kind().repeats() && !output.hasRemaining()) {
                    end();
                } else if (channel.isConnected() && !output.hasRemaining()) {
                    produce(nowNs);
                }
            } catch (IOException refused) {
                end();
            }
        }

        private void open() throws IOException {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            boolean connected = channel.connect(address);
            key = channel.register(selector, connected ? SelectionKey.OP_WRITE : SelectionKey.OP_CONNECT, this);
            generation++;
            messages = 0;
            nextNs = 0;
            output = ByteBuffer.allocate(0);
            opened.incrementAndGet();
        }

        private void produce(long nowNs) {
            int count = plan.kind().repeats() ? burst() : 1;
            output = ByteBuffer.wrap(plan.kind().messages("f" + number + "-" + generation, messages, count));
            messages += count;
            if (!plan.kind().repeats()) {
                nextNs = nowNs + plan.holdMs() * MS;
            } else if (plan.requestsPerSecond() > 0) {
                nextNs = nowNs + count * 1_000 * MS / plan.requestsPerSecond();
            }
            key.interestOps(interest() | SelectionKey.OP_WRITE);
        }

        private int burst() {
            return plan.requestsPerSecond() == 0
                    ? MAX_BURST
                    : Math.max(1, plan.requestsPerSecond() * MIN_PAUSE_MS / 1_000);
        }

        private int interest() {
            return plan.reads() ? SelectionKey.OP_READ : 0;
        }

        void ready(SelectionKey selected) {
            if (!selected.isValid() || selected != key) {
                return;
            }
            try {
                if (selected.isConnectable()) {
                    channel.finishConnect();
                    key.interestOps(interest() | SelectionKey.OP_WRITE);
                }
                if (selected.isReadable()) {
                    read();
                }
                if (key != null && selected.isWritable()) {
                    write();
                }
            } catch (IOException ended) {
                end();
            }
        }

        private void read() throws IOException {
            int bytes = channel.read(input.clear());
            if (bytes < 0) {
                end();
            } else {
                readBytes.addAndGet(bytes);
            }
        }

        private void write() throws IOException {
            if (!output.hasRemaining()) {
                boolean mayProduce = plan.kind().repeats() && plan.requestsPerSecond() == 0;
                if (mayProduce || messages == 0) {
                    produce(System.nanoTime());
                } else {
                    key.interestOps(interest());
                    return;
                }
            }
            sentBytes.addAndGet(channel.write(output));
        }

        void end() {
            if (channel != null) {
                try {
                    channel.close();
                } catch (IOException failed) {
                    // The channel is closed in either case.
                }
                channel = null;
                key = null;
                nextNs = System.nanoTime() + RECONNECT_NS;
            }
        }
    }
}
