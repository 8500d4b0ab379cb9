package peppergauge;

import static peppergauge.ThriftSidecarFixture.request;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import peppergauge.thrift.wire.WireFormat;

/**
 * Measures the CPU time of a request and the heap of a connection, for HTTP and each wire format of Thrift. Run by hand
 * (docs/THRIFT.md). Clients and servers share the process, so only the CPU time of the sidecar's event loop counts, and
 * of the heap only the growth with the number of connections.
 */
public final class Cost {

    private static final int REQUESTS_PER_ROUND = 6_000;
    private static final int CONNECTIONS = 600;

    private Cost() {}

    public static void main(String[] args) throws Exception {
        List<ThriftSidecarFixture.ProtocolPair> pairs = new ArrayList<>(Stream.concat(
                        Stream.of((ProtocolCodec) new HttpProtocolCodec()),
                        Stream.of(WireFormat.values()).map(ThriftProtocolCodec::new))
                .map(codec -> new ThriftSidecarFixture.ProtocolPair(codec, codec))
                .toList());
        pairs.add(new ThriftSidecarFixture.ProtocolPair(
                new ThriftProtocolCodec(WireFormat.FRAMED_COMPACT), new ThriftProtocolCodec(WireFormat.FRAMED_BINARY)));
        for (ThriftSidecarFixture.ProtocolPair protocols : pairs) {
            System.out.printf(Locale.ROOT, "%-32s", protocols);
            // One request after the other, like most clients; by the last two rounds the JVM is warmed up.
            try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(
                    protocols,
                    2_048,
                    (request, connection) -> connection
                            .getOutputStream()
                            .write(protocols.server().encodeResponse(request, "x".repeat(200))))) {
                for (int round = 0; round < 4; round++) {
                    System.out.printf(Locale.ROOT, " %5.0f us", cpuUsPerRequest(fixture, round));
                }
                System.out.printf(Locale.ROOT, "  %6.0f bytes a connection%n", heapBytesPerConnection(fixture));
            }
        }
        System.exit(0);
    }

    private static double cpuUsPerRequest(ThriftSidecarFixture fixture, int round) throws Exception {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long loopThreadId = Arrays.stream(threads.getThreadInfo(threads.getAllThreadIds()))
                .filter(thread -> thread != null && thread.getThreadName().equals("loop"))
                .findFirst()
                .orElseThrow()
                .getThreadId();
        try (Socket client = fixture.connectClient()) {
            ProtocolCodec.Reader reader = fixture.protocols.client().newReader(client.getInputStream());
            long beforeNs = threads.getThreadCpuTime(loopThreadId);
            for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
                fixture.send(client, request("gift", round + "-" + i, 900));
                if (!"served".equals(reader.readResponse().outcome())) {
                    throw new IllegalStateException("request was not served");
                }
            }
            return (threads.getThreadCpuTime(loopThreadId) - beforeNs) / 1e3 / REQUESTS_PER_ROUND;
        }
    }

    /** Each connection is idle after two requests. */
    private static double heapBytesPerConnection(ThriftSidecarFixture fixture) throws Exception {
        List<Socket> open = new ArrayList<>();
        fixture.requests.clear();
        long beforeBytes = usedHeapBytes();
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket client = fixture.connectClient();
            open.add(client);
            for (int call = 0; call < 2; call++) {
                fixture.exchange(client, request("list", "c" + i + "-" + call, 900), "acme");
            }
        }
        fixture.requests.clear();
        double bytesPerConnection = (usedHeapBytes() - beforeBytes) / (double) CONNECTIONS;
        for (Socket client : open) {
            client.close();
        }
        return bytesPerConnection;
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < 4; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
