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
import peppergauge.lab.play.Daemons;
import peppergauge.lab.play.SidecarConfig;
import peppergauge.lab.process.ManagedProcess;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.relay.Link;
import peppergauge.lab.relay.Tap;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerKind;
import peppergauge.lab.wire.Listener;
import peppergauge.lab.wire.Loop;

/** The processes of a rig and the links between them, none of them started yet. */
final class RigTopology {

    /** Requests that a server has in hand at most, a core. */
    private static final int ROOM = 24;

    private static final int SEEDS = 7_919;

    private final Rig.Plan plan;
    private final Scenario scenario;
    private final Loop loop;
    private final EventRecorder recorder;
    private final LoopbackHosts hosts = LoopbackHosts.fresh();
    private final Map<String, Link> links = new LinkedHashMap<>();
    private final Map<String, RigProcess> members = new LinkedHashMap<>();
    private final DiscoveryState roster;

    /** @throws IOException if ports or folders cannot be had */
    RigTopology(Rig.Plan plan, Loop loop, EventRecorder recorder) throws IOException {
        this.plan = plan;
        this.loop = loop;
        this.recorder = recorder;
        scenario = plan.file().scenario();
        List<String> programs =
                plan.programs().stream().map(AuxiliaryProcess::name).toList();
        for (String name : TopologyNames.links(RigFile.sidecars(scenario), RigFile.servers(scenario), programs)) {
            links.put(name, new Link(loop, hosts.of(0), tap(name)));
        }
        roster = new DiscoveryState(scenario, (sidecar, server) -> text(TopologyNames.link(TopologyNames.sidecar(sidecar), server)));
        discovery();
        for (String server : RigFile.servers(scenario)) {
            server(server);
        }
        for (AuxiliaryProcess program : plan.programs()) {
            further(program);
        }
        for (int i = 0; i < scenario.sidecars().count(); i++) {
            sidecar(i);
        }
    }

    /** By their names. */
    Map<String, Link> links() {
        return links;
    }

    /** By their names. */
    Map<String, RigProcess> members() {
        return members;
    }

    /** What discovery is to tell. */
    DiscoveryState roster() {
        return roster;
    }

    Link link(String from, String to) {
        return links.get(TopologyNames.link(from, to));
    }

    private String text(String link) {
        return Listener.text(links.get(link).address());
    }

    private Supplier<Tap> tap(String link) {
        int to = link.indexOf(TopologyNames.TO);
        String from = link.substring(0, to);
        String whom = link.substring(to + 1);
        if (whom.equals(TopologyNames.DISCOVERY)) {
            return () -> new DiscoveryLinkObserver(recorder, from);
        }
        if (from.equals(TopologyNames.CLIENTS)) {
            return () -> new ClientLinkObserver(recorder, whom);
        }
        return RigFile.servers(scenario).contains(whom)
                ? () -> plan.taps().apply(new ServerLinkObserver(recorder, from, whom))
                : () -> Tap.NONE;
    }

    // ---- Its processes ----

    private void discovery() throws IOException {
        add(new RigProcess(
                TopologyNames.DISCOVERY,
                recorder,
                plan.folder(),
                disk -> child("discovery"),
                Optional.empty(),
                Optional.of(() -> roster.task(plan.capacity())),
                at -> loop.post(() -> {
                    for (int i = 0; i < scenario.sidecars().count(); i++) {
                        link(TopologyNames.sidecar(i), TopologyNames.DISCOVERY).to(at.isEmpty() ? null : at.get(i));
                    }
                })));
    }

    private ManagedProcess.Command child(String what) {
        return new ManagedProcess.Command(LaunchCommands.child(what), plan.commands().workplace(), Map.of());
    }

    private void server(String name) throws IOException {
        Map<String, Double> workMs = new LinkedHashMap<>();
        ServerKind kind = scenario.servers().stream()
                .filter(one -> name.startsWith(one.name() + '-'))
                .findFirst()
                .orElseThrow();
        for (RequestKind each : scenario.classes()) {
            workMs.put(each.name(), Scenario.ms(each.work()) / kind.speed());
        }
        ChildMain.ServerTask task = new ChildMain.ServerTask(name, seed(name), workMs, (int) kind.cores() * ROOM);
        add(new RigProcess(
                name,
                recorder,
                plan.folder(),
                disk -> child("server"),
                Optional.empty(),
                Optional.of(() -> DiscoveryState.json(task)),
                at -> reach(name, at)));
    }

    private void further(AuxiliaryProcess program) throws IOException {
        add(new RigProcess(
                program.name(),
                recorder,
                plan.folder(),
                disk -> {
                    for (Map.Entry<String, String> file : program.files().entrySet()) {
                        Files.writeString(
                                disk.resolve(file.getKey()),
                                linked(program.name(), file.getValue()).replace("{dir}", disk.toString()));
                    }
                    return new ManagedProcess.Command(
                            program.words().stream()
                                    .map(word -> linked(program.name(), word))
                                    .toList(),
                            plan.commands().workplace(),
                            Map.of());
                },
                Optional.of(program),
                Optional.empty(),
                at -> reach(program.name(), at)));
    }

    /** Addresses are those of links, so that faults may come between any two. */
    private String linked(String from, String text) {
        String linked = text;
        for (AuxiliaryProcess other : plan.programs()) {
            Link link = links.get(TopologyNames.link(from, other.name()));
            if (link != null) {
                linked = linked.replace("{link:" + other.name() + '}', Listener.text(link.address()));
            }
        }
        return linked;
    }

    private void sidecar(int index) throws IOException {
        String name = TopologyNames.sidecar(index);
        InetSocketAddress listen = SidecarProcess.freeAddress(hosts.of(index + 1));
        AuxiliaryProcess check = new AuxiliaryProcess(name, List.of(), listen, "/up", Map.of());
        add(new RigProcess(
                name,
                recorder,
                plan.folder(),
                disk -> {
                    Path config = disk.resolve("config.json");
                    Map<String, Object> all = SidecarConfig.of(
                            scenario,
                            index,
                            index % scenario.network().zones().size(),
                            link(name, TopologyNames.DISCOVERY).address(),
                            roster.known(index, plan.commands().knowing()),
                            seed(name));
                    all.put("listen", Listener.text(listen));
                    Files.writeString(config, DiscoveryState.json(all));
                    if (plan.commands().daemons().isPresent()) {
                        Files.writeString(
                                disk.resolve(Daemons.FILE),
                                operatorFile(name, plan.commands().daemons().get())
                                        .replace("{dir}", disk.toString()));
                    }
                    return new ManagedProcess.Command(
                            plan.commands().sidecar(),
                            plan.commands().workplace(),
                            Map.of("GW_CONFIG", config.toString()));
                },
                Optional.of(check),
                Optional.empty(),
                at -> reach(name, at)));
    }

    private String operatorFile(String name, Daemons daemons) {
        return "kind = \"daemon\"\n[sidecar]\nconfig = \"{dir}/config.json\"\n[admin]\nsocket = \"{dir}/admin.sock\"\n"
                + linked(name, daemons.tables().orElse("")) + '\n';
    }

    private void add(RigProcess member) {
        members.put(member.name(), member);
    }

    private void reach(String name, List<InetSocketAddress> at) {
        loop.post(() -> links.forEach((link, way) -> {
            if (link.endsWith(TopologyNames.TO + name)) {
                way.to(at.isEmpty() ? null : at.get(0));
            }
        }));
    }

    long seed(String purpose) {
        return scenario.run().seed() * SEEDS + purpose.hashCode();
    }
}
