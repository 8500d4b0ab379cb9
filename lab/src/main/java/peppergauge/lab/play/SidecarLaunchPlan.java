package peppergauge.lab.play;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.process.SidecarProcess.Launch;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.thrift.ThriftCodec;
import peppergauge.lab.thrift.ThriftOperatorTables;
import peppergauge.lab.wire.Listener;
import peppergauge.lab.wire.MessageCodec;

/**
 * How one sidecar is started, either as the platform's sidecar or as a daemon with an operator file, and which protocol
 * it uses.
 *
 * @param thrift the address of its Thrift listener; empty if it uses HTTP
 * @param form the Thrift transport and protocol, as operator files name them
 * @param files contents of further files in its directory, by name
 */
record SidecarLaunchPlan(Launch launch, Optional<InetSocketAddress> thrift, String form, Map<String, String> files) {

    /** Chooses daemon or platform sidecar, and Thrift or HTTP, for the sidecar of an index. */
    static SidecarLaunchPlan of(Scenario scenario, int index, Launch platform, DaemonLauncher daemons)
            throws IOException {
        boolean usesThrift =
                index >= scenario.sidecars().count() - scenario.sidecars().thrift();
        String form = scenario.sidecars().thriftForm();
        if (!usesThrift && daemons.tables().isEmpty()) {
            return new SidecarLaunchPlan(platform, Optional.empty(), form, Map.of());
        }
        StringBuilder text = new StringBuilder("kind = \"daemon\"\n[sidecar]\nconfig = \"{dir}/config.json\"\n[admin]\n"
                + "socket = \"{dir}/admin.sock\"\n");
        Optional<InetSocketAddress> thrift = Optional.empty();
        if (usesThrift) {
            thrift = Optional.of(SidecarProcess.freeAddress());
            text.append(ThriftOperatorTables.tables(
                    Listener.text(thrift.get()),
                    form,
                    scenario.classes().stream().map(RequestClassSpec::name).toList()));
        }
        daemons.tables().ifPresent(more -> text.append(more).append('\n'));
        Launch daemon = new Launch(platform.checkout(), daemons.run(), platform.cpu(), platform.quota());
        return new SidecarLaunchPlan(daemon, thrift, form, Map.of(DaemonLauncher.FILE, text.toString()));
    }

    /** Returns a codec for one new connection. */
    MessageCodec codec() {
        return thrift.isPresent() ? ThriftCodec.of(form) : MessageCodec.HTTP;
    }
}
