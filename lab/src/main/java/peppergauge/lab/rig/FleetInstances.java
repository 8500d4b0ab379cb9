package peppergauge.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.wire.Listener;

/**
 * Auxiliary processes that know each other, such as the instances of a fleet service, with the names {@code fleet-1}
 * and so on.
 *
 * @param command a shell command; {@code {dir}} is replaced by the data directory, which contains {@code fleet.toml}
 * @param fileTemplate text of that file, with {@code {listen}} and {@code {number}} for those of the instance
 * @param peerTemplate appended for each other instance, with {@code {peer}} and {@code {link}}
 * @param readyPath a path that returns 200 once the instance is ready
 */
record FleetInstances(String command, String fileTemplate, String peerTemplate, String readyPath) {

    /** Returns instances of the fleet service with the given settings of tables, and objectives if there are any. */
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

    /** Returns the processes. They reach each other at the addresses of links, as sidecars reach them. */
    List<AuxiliaryProcess> createProcesses(int count) throws IOException {
        List<AuxiliaryProcess> programs = new ArrayList<>();
        LoopbackHosts hosts = LoopbackHosts.allocate();
        for (int i = 1; i <= count; i++) {
            InetSocketAddress listen = SidecarProcess.freeAddress(hosts.of(i));
            StringBuilder text = new StringBuilder(
                    fileTemplate.replace("{listen}", Listener.text(listen)).replace("{number}", Integer.toString(i)));
            for (int other = 1; other <= count; other++) {
                if (other != i) {
                    text.append(peerTemplate
                            .replace("{peer}", "fleet-" + other)
                            .replace("{link}", "{link:fleet-" + other + '}'));
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
