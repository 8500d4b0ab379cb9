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
import peppergauge.lab.fault.Names;
import peppergauge.lab.play.Daemons;
import peppergauge.lab.play.SidecarConfig;
import peppergauge.lab.process.Program;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.relay.Link;
import peppergauge.lab.relay.Tap;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerKind;
import peppergauge.lab.wire.Listener;
import peppergauge.lab.wire.Loop;

/** The processes of a rig and the links between them, none of them started yet. */
final class Cast {

    /** Requests that a server has in hand at most, a core. */
    private static final int ROOM = 24;

    private static final int SEEDS = 7_919;

    private final Rig.Plan plan;
    private final Scenario scenario;
    private final Loop loop;
    private final Recorder recorder;
    private final Hosts hosts = Hosts.fresh();
    private final Map<String, Link> links = new LinkedHashMap<>();
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Roster roster;

    /** @throws IOException if ports or folders cannot be had */
    Cast(Rig.Plan plan, Loop loop, Recorder recorder) throws IOException {
        this.plan = plan;
        this.loop = loop;
        this.recorder = recorder;
        scenario = plan.file().scenario();
        List<String> programs =
                plan.programs().stream().map(FurtherProgram::name).toList();
        for (String name : Names.links(RigFile.sidecars(scenario), RigFile.servers(scenario), programs)) {
            links.put(name, new Link(loop, hosts.of(0), tap(name)));
        }
        roster = new Roster(scenario, (sidecar, server) -> text(Names.link(Names.sidecar(sidecar), server)));
        discovery();
        for (String server : RigFile.servers(scenario)) {
            server(server);
        }
        for (FurtherProgram program : plan.programs()) {
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
    Map<String, Member> members() {
        return members;
    }

    /** What discovery is to tell. */
    Roster roster() {
        return roster;
    }

    Link link(String from, String to) {
        return links.get(Names.link(from, to));
    }

    private String text(String link) {
        return Listener.text(links.get(link).address());
    }

    private Supplier<Tap> tap(String link) {
        int to = link.indexOf(Names.TO);
        String from = link.substring(0, to);
        String whom = link.substring(to + 1);
        if (whom.equals(Names.DISCOVERY)) {
            return () -> new ListTap(recorder, from);
        }
        if (from.equals(Names.CLIENTS)) {
            return () -> new ClientTap(recorder, whom);
        }
        return RigFile.servers(scenario).contains(whom)
                ? () -> plan.taps().apply(new AttemptTap(recorder, from, whom))
                : () -> Tap.NONE;
    }

    // ---- Its processes ----

    private void discovery() throws IOException {
        add(new Member(
                Names.DISCOVERY,
                recorder,
                plan.folder(),
                disk -> child("discovery"),
                Optional.empty(),
                Optional.of(() -> roster.task(plan.capacity())),
                at -> loop.post(() -> {
                    for (int i = 0; i < scenario.sidecars().count(); i++) {
                        link(Names.sidecar(i), Names.DISCOVERY).to(at.isEmpty() ? null : at.get(i));
                    }
                })));
    }

    private Program.Command child(String what) {
        return new Program.Command(Commands.child(what), plan.commands().workplace(), Map.of());
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
        add(new Member(
                name,
                recorder,
                plan.folder(),
                disk -> child("server"),
                Optional.empty(),
                Optional.of(() -> Roster.json(task)),
                at -> reach(name, at)));
    }

    private void further(FurtherProgram program) throws IOException {
        add(new Member(
                program.name(),
                recorder,
                plan.folder(),
                disk -> {
                    for (Map.Entry<String, String> file : program.files().entrySet()) {
                        Files.writeString(
                                disk.resolve(file.getKey()),
                                linked(program.name(), file.getValue()).replace("{dir}", disk.toString()));
                    }
                    return new Program.Command(
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
        for (FurtherProgram other : plan.programs()) {
            Link link = links.get(Names.link(from, other.name()));
            if (link != null) {
                linked = linked.replace("{link:" + other.name() + '}', Listener.text(link.address()));
            }
        }
        return linked;
    }

    private void sidecar(int index) throws IOException {
        String name = Names.sidecar(index);
        InetSocketAddress listen = SidecarProcess.freeAddress(hosts.of(index + 1));
        FurtherProgram check = new FurtherProgram(name, List.of(), listen, "/up", Map.of());
        add(new Member(
                name,
                recorder,
                plan.folder(),
                disk -> {
                    Path config = disk.resolve("config.json");
                    Map<String, Object> all = SidecarConfig.of(
                            scenario,
                            index,
                            index % scenario.network().zones().size(),
                            link(name, Names.DISCOVERY).address(),
                            roster.known(index, plan.commands().knowing()),
                            seed(name));
                    all.put("listen", Listener.text(listen));
                    Files.writeString(config, Roster.json(all));
                    if (plan.commands().daemons().isPresent()) {
                        Files.writeString(
                                disk.resolve(Daemons.FILE),
                                operatorFile(name, plan.commands().daemons().get())
                                        .replace("{dir}", disk.toString()));
                    }
                    return new Program.Command(
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

    private void add(Member member) {
        members.put(member.name(), member);
    }

    private void reach(String name, List<InetSocketAddress> at) {
        loop.post(() -> links.forEach((link, way) -> {
            if (link.endsWith(Names.TO + name)) {
                way.to(at.isEmpty() ? null : at.get(0));
            }
        }));
    }

    long seed(String purpose) {
        return scenario.run().seed() * SEEDS + purpose.hashCode();
    }
}
