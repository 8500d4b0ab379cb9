package peppergauge.lab.rig;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * A program of an installation's beside sidecars, servers and discovery, such as an instance of the fleet service.
 *
 * @param name as faults mean it; {@code fleet-1} for instance
 * @param words its command; {@code {dir}} is its disk, and {@code {link:NAME}} the address at which it reaches another
 *         program, as {@code host:port}
 * @param listen where it listens itself
 * @param ready a path that answers 200 once it is ready
 * @param files written to its disk before each start, with the same words replaced
 */
public record AuxiliaryProcess(
        String name, List<String> arguments, InetSocketAddress listen, String readyPath, Map<String, String> files) {}
