package peppergauge.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.wire.Listener;

/**
 * Further programs that know each other, such as the instances of a fleet service: {@code fleet-1} and so on.
 *
 * @param command a shell command; {@code {dir}} is its disk, where {@code fleet.toml} is
 * @param file its text, with {@code {listen}} and {@code {number}} of the instance
 * @param peer appended for each other one, with {@code {peer}} and {@code {link}}
 * @param ready a path that answers 200 once it is ready
 */
record FleetInstances(String command, String fileTemplate, String peerTemplate, String readyPath) {

    /** The fleet service's, in a file that needs its tables' figures, and contracts if there are any. */
    static FleetInstances ofFleetService(String command, String tableSettings) {
        return new FleetInstances(
                command,
                """
                kind = "fleet"
                [service]
                site = "rig"
                name = "fleet-{number}"
                number = {number}
                listen = "{listen}"
                folder = "{dir}/state"
                """ + tableSettings,
                "[[service.peer]]\nname = \"{peer}\"\naddress = \"{link}\"\n",
                "/fleet/v1/status");
    }

    /** They know each other, as sidecars know them, by the addresses of links. */
    List<AuxiliaryProcess> createProcesses(int count) throws IOException {
        List<AuxiliaryProcess> programs = new ArrayList<>();
        LoopbackHosts hosts = LoopbackHosts.allocate();
        for (int i = 1; i <= count; i++) {
            InetSocketAddress listen = SidecarProcess.freeAddress(hosts.of(i));
            StringBuilder text = new StringBuilder(
                    fileTemplate.replace("{listen}", Listener.text(listen)).replace("{number}", Integer.toString(i)));
            for (int other = 1; other <= count; other++) {
                if (other != i) {
                    text.append(
                            peerTemplate.replace("{peer}", "fleet-" + other).replace("{link}", "{link:fleet-" + other
                                    + '}'));
                }
            }
            programs.add(new AuxiliaryProcess(
                    "fleet-" + i,
                    List.of("/bin/sh", "-c", command),
                    listen,
                    readyPath,
                    Map.of("fleet.toml", text.toString())));
        }
        return programs;
    }
}
