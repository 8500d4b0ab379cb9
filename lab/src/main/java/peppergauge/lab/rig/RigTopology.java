package peppergauge.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.play.DaemonLauncher;
import peppergauge.lab.play.SidecarConfig;
import peppergauge.lab.process.ManagedProcess;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.relay.ConnectionObserver;
import peppergauge.lab.relay.Link;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerGroup;
import peppergauge.lab.wire.Listener;
import peppergauge.lab.wire.Loop;

/** Processes of a rig and the links between them. The constructor starts none of them. */
final class RigTopology {

    /** Limit of a server's in-flight requests per core. */
    private static final int MAX_REQUESTS_PER_CORE = 24;

    private static final int SEED_FACTOR = 7_919;

    private final Rig.Plan plan;
    private final Scenario scenario;
    private final Loop loop;
    private final EventRecorder recorder;
    private final LoopbackHosts hosts = LoopbackHosts.allocate();
    private final Map<String, Link> links = new LinkedHashMap<>();
    private final Map<String, RigProcess> processes = new LinkedHashMap<>();
    private final DiscoveryState discoveryState;

    /** @throws IOException if ports or directories are not available */
    RigTopology(Rig.Plan plan, Loop loop, EventRecorder recorder) throws IOException {
        this.plan = plan;
        this.loop = loop;
        this.recorder = recorder;
        scenario = plan.file().scenario();
        List<String> programs =
                plan.auxiliaryProcesses().stream().map(AuxiliaryProcess::name).toList();
        for (String name : TopologyNames.links(RigFile.sidecars(scenario), RigFile.servers(scenario), programs)) {
            links.put(name, new Link(loop, hosts.of(0), observerFor(name)));
        }
        discoveryState = new DiscoveryState(
                scenario, (sidecar, server) -> linkAddress(TopologyNames.link(TopologyNames.sidecar(sidecar), server)));
        addDiscovery();
        for (String server : RigFile.servers(scenario)) {
            addServer(server);
        }
        for (AuxiliaryProcess program : plan.auxiliaryProcesses()) {
            addAuxiliary(program);
        }
        for (int i = 0; i < scenario.sidecars().count(); i++) {
            addSidecar(i);
        }
    }

    /** Returns the links by name. */
    Map<String, Link> links() {
        return links;
    }

    /** Returns the processes by name. */
    Map<String, RigProcess> processes() {
        return processes;
    }

    /** Returns the state that discovery reports. */
    DiscoveryState discoveryState() {
        return discoveryState;
    }

    Link link(String from, String to) {
        return links.get(TopologyNames.link(from, to));
    }

    private String linkAddress(String link) {
        return Listener.text(links.get(link).address());
    }

    private Supplier<ConnectionObserver> observerFor(String link) {
        int to = link.indexOf(TopologyNames.LINK_SEPARATOR);
        String from = link.substring(0, to);
        String callee = link.substring(to + 1);
        if (callee.equals(TopologyNames.DISCOVERY)) {
            return () -> new DiscoveryLinkObserver(recorder, from);
        }
        if (from.equals(TopologyNames.CLIENTS)) {
            return () -> new ClientLinkObserver(recorder, callee);
        }
        return RigFile.servers(scenario).contains(callee)
                ? () -> plan.observerWrapper().apply(new ServerLinkObserver(recorder, from, callee))
                : () -> ConnectionObserver.NONE;
    }

    // ---- Processes ----

    private void addDiscovery() throws IOException {
        add(new RigProcess(
                TopologyNames.DISCOVERY,
                recorder,
                plan.folder(),
                directory -> standInCommand("discovery"),
                Optional.empty(),
                Optional.of(() -> discoveryState.initialInput(plan.capacity())),
                at -> loop.post(() -> {
                    for (int i = 0; i < scenario.sidecars().count(); i++) {
                        link(TopologyNames.sidecar(i), TopologyNames.DISCOVERY)
                                .setTarget(at.isEmpty() ? null : at.get(i));
                    }
                })));
    }

    private ManagedProcess.Command standInCommand(String what) {
        return new ManagedProcess.Command(
                LaunchCommands.standIn(what), plan.commands().workingDirectory(), Map.of());
    }

    private void addServer(String name) throws IOException {
        Map<String, Double> workMs = new LinkedHashMap<>();
        ServerGroup kind = scenario.servers().stream()
                .filter(one -> name.startsWith(one.name() + '-'))
                .findFirst()
                .orElseThrow();
        for (RequestClassSpec each : scenario.classes()) {
            workMs.put(each.name(), Scenario.toMillis(each.work()) / kind.speed());
        }
        ChildMain.ServerTask task =
                new ChildMain.ServerTask(name, seed(name), workMs, (int) kind.cores() * MAX_REQUESTS_PER_CORE);
        add(new RigProcess(
                name,
                recorder,
                plan.folder(),
                directory -> standInCommand("server"),
                Optional.empty(),
                Optional.of(() -> DiscoveryState.json(task)),
                at -> redirectLinks(name, at)));
    }

    private void addAuxiliary(AuxiliaryProcess program) throws IOException {
        add(new RigProcess(
                program.name(),
                recorder,
                plan.folder(),
                directory -> {
                    for (Map.Entry<String, String> file : program.files().entrySet()) {
                        Files.writeString(
                                directory.resolve(file.getKey()),
                                withLinkAddresses(program.name(), file.getValue())
                                        .replace("{dir}", directory.toString()));
                    }
                    return new ManagedProcess.Command(
                            program.arguments().stream()
                                    .map(word -> withLinkAddresses(program.name(), word))
                                    .toList(),
                            plan.commands().workingDirectory(),
                            Map.of());
                },
                Optional.of(program),
                Optional.empty(),
                at -> redirectLinks(program.name(), at)));
    }

    /** Replaces placeholders by addresses of links, so that faults can occur between any two processes. */
    private String withLinkAddresses(String from, String text) {
        String linked = text;
        for (AuxiliaryProcess other : plan.auxiliaryProcesses()) {
            Link link = links.get(TopologyNames.link(from, other.name()));
            if (link != null) {
                linked = linked.replace("{link:" + other.name() + '}', Listener.text(link.address()));
            }
        }
        return linked;
    }

    private void addSidecar(int index) throws IOException {
        String name = TopologyNames.sidecar(index);
        InetSocketAddress listen = SidecarProcess.freeAddress(hosts.of(index + 1));
        AuxiliaryProcess check = new AuxiliaryProcess(name, List.of(), listen, "/up", Map.of());
        add(new RigProcess(
                name,
                recorder,
                plan.folder(),
                directory -> {
                    Path config = directory.resolve("config.json");
                    Map<String, Object> all = SidecarConfig.of(
                            scenario,
                            index,
                            index % scenario.network().zones().size(),
                            link(name, TopologyNames.DISCOVERY).address(),
                            discoveryState.known(index, plan.commands().knownServersAtStart()),
                            seed(name));
                    all.put("listen", Listener.text(listen));
                    Files.writeString(config, DiscoveryState.json(all));
                    if (plan.commands().daemons().isPresent()) {
                        Files.writeString(
                                directory.resolve(DaemonLauncher.FILE),
                                operatorFile(name, plan.commands().daemons().get())
                                        .replace("{dir}", directory.toString()));
                    }
                    return new ManagedProcess.Command(
                            plan.commands().sidecarCommand(),
                            plan.commands().workingDirectory(),
                            Map.of("GW_CONFIG", config.toString()));
                },
                Optional.of(check),
                Optional.empty(),
                at -> redirectLinks(name, at)));
    }

    private String operatorFile(String name, DaemonLauncher daemons) {
        return "kind = \"daemon\"\n[sidecar]\nconfig = \"{dir}/config.json\"\n[admin]\nsocket = \"{dir}/admin.sock\"\n"
                + withLinkAddresses(name, daemons.tables().orElse("")) + '\n';
    }

    private void add(RigProcess process) {
        processes.put(process.name(), process);
    }

    private void redirectLinks(String name, List<InetSocketAddress> at) {
        loop.post(() -> links.forEach((link, target) -> {
            if (link.endsWith(TopologyNames.LINK_SEPARATOR + name)) {
                target.setTarget(at.isEmpty() ? null : at.get(0));
            }
        }));
    }

    long seed(String purpose) {
        return scenario.run().seed() * SEED_FACTOR + purpose.hashCode();
    }
}
