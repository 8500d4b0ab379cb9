package peppergauge.lab.rig;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * A process besides sidecars, servers and discovery, such as an instance of the fleet service.
 *
 * @param name name in fault targets, such as {@code fleet-1}
 * @param arguments the command; {@code {dir}} is replaced by the data directory, and {@code {link:NAME}} by the address
 *         at which it reaches another process, as {@code host:port}
 * @param listen the address on which it listens
 * @param readyPath a path that returns 200 once the process is ready
 * @param files texts by name, written to the data directory before each start with the same placeholders replaced
 */
public record AuxiliaryProcess(
        String name, List<String> arguments, InetSocketAddress listen, String readyPath, Map<String, String> files) {}
