package peppergauge.lab.cost;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import peppergauge.lab.standin.BackendServer;
import peppergauge.lab.standin.Delay;
import peppergauge.lab.standin.DiscoveryStandIn;
import peppergauge.lab.standin.EndpointEntry;
import peppergauge.lab.standin.EndpointListMessage;
import peppergauge.lab.standin.FixedService;
import peppergauge.lab.wire.Loop;

/** The identical backend servers and the discovery service of a measured sidecar, on one event loop. */
final class StandIns implements Closeable {

    /** Totals over the backend servers since their start. */
    record Counts(long requests, long probes, long connections) {

        Counts since(Counts before) {
            return new Counts(requests - before.requests, probes - before.probes, connections - before.connections);
        }
    }

    private final Loop loop = new Loop("stand-ins");
    private final List<FixedService> services = new ArrayList<>();
    private final List<BackendServer> servers = new ArrayList<>();
    private final DiscoveryStandIn discovery;
    private final EndpointListMessage serverList;

    StandIns(int count, Delay delay, String zone, long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        List<EndpointEntry> rows = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            FixedService service = new FixedService(loop, delay, random.split());
            services.add(service);
            servers.add(new BackendServer(loop, service));
            rows.add(EndpointEntry.active("s-" + i, servers.get(i).address(), zone));
        }
        discovery = new DiscoveryStandIn(loop, rows);
        serverList = discovery.list();
        loop.start();
    }

    /** The endpoint list as discovery sends it. */
    EndpointListMessage serverList() {
        return serverList;
    }

    InetSocketAddress address(int server) {
        return servers.get(server).socketAddress();
    }

    InetSocketAddress discovery() {
        return discovery.address();
    }

    Counts counts() {
        return new Counts(sum(FixedService::requests), sum(FixedService::probes), sum(FixedService::connections));
    }

    private long sum(ToLongFunction<FixedService> count) {
        return services.stream().mapToLong(count).sum();
    }

    @Override
    public void close() throws IOException {
        loop.close();
    }
}
