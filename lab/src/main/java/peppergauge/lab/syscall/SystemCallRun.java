package peppergauge.lab.syscall;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import peppergauge.lab.callfault.CallFault;
import peppergauge.lab.callfault.FailingCalls;
import peppergauge.lab.callfault.FaultTarget;
import peppergauge.lab.flood.FloodRun;
import peppergauge.lab.flood.UsualClient;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.standin.BackendServer;
import peppergauge.lab.standin.DiscoveryStandIn;
import peppergauge.lab.standin.EndpointEntry;
import peppergauge.lab.wire.Loop;

/** One sidecar in a process of its own whose calls fail for a while, two sound servers, and usual clients. */
public final class SystemCallRun implements Closeable {

    private static final int SERVERS = 2;
    private static final int CLIENTS = 8;
    private static final String NOBODY_LISTENS = "127.0.0.1:1";
    private static final long QUIET_MS = 400;
    private static final long SETTLING_MS = 1_000;
    private static final long AFTER_MS = 1_000;

    private final CallFault fault;
    private final Loop loop = Loop.sleeping("servers");
    private final Map<String, AtomicInteger> runs = ClosingService.newRuns();
    private final FailingCalls calls;
    private final SidecarProcess sidecar;
    private int phases;

    /** Starts the servers and the sidecar, and returns when it is ready. */
    public SystemCallRun(CallFault fault, FloodRun.Launch launch) throws IOException, InterruptedException {
        this.fault = fault;
        calls = new FailingCalls(List.of(fault));
        List<EndpointEntry> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(EndpointEntry.active(
                    "s" + i, new BackendServer(loop, new ClosingService(loop, runs)).address(), "z0"));
        }
        DiscoveryStandIn discovery = new DiscoveryStandIn(loop, servers);
        loop.start();
        InetSocketAddress address = SidecarProcess.freeAddress();
        String environment = calls.environment(address.getPort()).entrySet().stream()
                .map(variable -> variable.getKey() + "='" + variable.getValue() + "'")
                .collect(Collectors.joining(" "));
        sidecar = new SidecarProcess(
                new SidecarProcess.Launch(
                        launch.checkout(),
                        "ulimit -n " + launch.sockets() + "; export " + environment + "; " + launch.run(),
                        launch.cpu(),
                        1),
                address,
                configuration(discovery, launch));
        sidecar.awaitUp();
    }

    private Map<String, Object> configuration(DiscoveryStandIn discovery, FloodRun.Launch launch) throws IOException {
        JsonMapper json = new JsonMapper();
        InetSocketAddress address = discovery.address();
        // Each failed call to discovery is logged, so that there are lines whose writing can fail.
        boolean isDiscoveryAway = fault.target() == FaultTarget.LOG;
        return Map.of(
                "name", "n0",
                "discovery", isDiscoveryAway ? NOBODY_LISTENS : address.getHostString() + ":" + address.getPort(),
                "seed", String.format("%016x", fault.seed()),
                "limits", Map.of("cores", 1, "memory_mb", 192, "sockets", launch.sockets()),
                "known", json.readTree(discovery.list().json()),
                "settings", json.readTree(FloodRun.SETTINGS));
    }

    /** Lets calls fail for a while beside the clients. */
    public SystemCallOutcome run(long faultMs) throws IOException, InterruptedException {
        clientsFor(QUIET_MS);
        double cpuBeforeMs = sidecar.usage().cpuMs();
        long startNs = System.nanoTime();
        calls.start(0);
        List<UsualClient.Exchange> during = clientsFor(faultMs);
        calls.stop(0);
        double cpuShare = (sidecar.usage().cpuMs() - cpuBeforeMs) / ((System.nanoTime() - startNs) / 1e6);
        List<UsualClient.Exchange> settling = clientsFor(SETTLING_MS);
        List<UsualClient.Exchange> after = clientsFor(AFTER_MS);
        return new SystemCallOutcome(
                fault,
                during,
                settling,
                after,
                calls.failures(0),
                cpuShare,
                sidecar.isAlive(),
                ClosingService.repeated(runs),
                sidecar.said());
    }

    /** Half of the clients keep their connections while they run. */
    private List<UsualClient.Exchange> clientsFor(long durationMs) throws InterruptedException {
        phases++;
        List<UsualClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new UsualClient(sidecar.address(), "p" + phases + "c" + i, i % 2 == 0, fault.seed() + i));
        }
        clients.forEach(UsualClient::start);
        Thread.sleep(durationMs);
        List<UsualClient.Exchange> exchanges = new ArrayList<>();
        for (UsualClient client : clients) {
            exchanges.addAll(client.stop());
        }
        return exchanges;
    }

    @Override
    public void close() throws IOException {
        sidecar.close();
        loop.close();
        calls.close();
    }
}
