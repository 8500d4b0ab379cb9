package peppergauge.lab.fault;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Names of processes and of the links between them. */
public final class TopologyNames {

    /** All clients of a sidecar, as the calling end of a link. */
    public static final String CLIENTS = "clients";

    public static final String DISCOVERY = "discovery";
    /** Between the two ends of a link. */
    public static final String LINK_SEPARATOR = ">";

    private TopologyNames() {}

    /** A sidecar's; the first one's index is 0. */
    public static String sidecar(int index) {
        return "sidecar-" + (index + 1);
    }

    public static String link(String from, String to) {
        return from + LINK_SEPARATOR + to;
    }

    /** Whether a name fits a pattern in which {@code *} stands for any characters. */
    static boolean matches(String pattern, String name) {
        return pattern.equals(name)
                || Arrays.stream(pattern.split("\\*", -1))
                        .map(Pattern::quote)
                        .collect(Collectors.collectingAndThen(Collectors.joining(".*"), name::matches));
    }

    /** Of a rig: every sidecar speaks with every server, with discovery, and with every other program. */
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
