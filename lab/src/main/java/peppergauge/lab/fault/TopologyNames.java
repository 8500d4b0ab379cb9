package peppergauge.lab.fault;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Names of a rig's processes and of the links between them. */
public final class TopologyNames {

    /** Name of all clients of a sidecar, as the calling end of a link. */
    public static final String CLIENTS = "clients";

    public static final String DISCOVERY = "discovery";
    /** Separates the two ends in the name of a link. */
    public static final String LINK_SEPARATOR = ">";

    private TopologyNames() {}

    /** Returns the name of the sidecar with this index; the first index is 0. */
    public static String sidecar(int index) {
        return "sidecar-" + (index + 1);
    }

    public static String link(String from, String to) {
        return from + LINK_SEPARATOR + to;
    }

    /** Returns whether a name matches a pattern in which {@code *} stands for any characters. */
    static boolean matches(String pattern, String name) {
        return pattern.equals(name)
                || Arrays.stream(pattern.split("\\*", -1))
                        .map(Pattern::quote)
                        .collect(Collectors.collectingAndThen(Collectors.joining(".*"), name::matches));
    }

    /**
     * Returns the names of all links of a rig. Each sidecar has links to every server, to discovery and to every
     * auxiliary process; auxiliary processes have links to each other.
     */
    public static List<String> links(List<String> sidecars, List<String> servers, List<String> auxiliaries) {
        List<String> links = new ArrayList<>();
        for (String sidecar : sidecars) {
            links.add(link(CLIENTS, sidecar));
            links.add(link(sidecar, DISCOVERY));
            servers.forEach(server -> links.add(link(sidecar, server)));
            auxiliaries.forEach(program -> links.add(link(sidecar, program)));
        }
        for (String one : auxiliaries) {
            auxiliaries.stream().filter(other -> !other.equals(one)).forEach(other -> links.add(link(one, other)));
        }
        return links;
    }
}
