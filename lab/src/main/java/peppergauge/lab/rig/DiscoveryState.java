package peppergauge.lab.rig;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.standin.EndpointEntry;
import peppergauge.lab.standin.EndpointListMessage;

/** State of each server as reported by discovery, with a separate address of it for each sidecar. Thread-safe. */
final class DiscoveryState {

    /** Number of servers that sidecars are told to be in one cell. */
    private static final int SERVERS_PER_CELL = 6;
    /** A restarted discovery begins at a version that its previous run cannot have reached. */
    private static final long VERSIONS_PER_START = 100_000;

    private record State(String word, long startedMs) {}

    private static final JsonMapper JSON = new JsonMapper();

    private final Scenario scenario;
    private final BiFunction<Integer, String, String> address;
    private final Map<String, State> states = new LinkedHashMap<>();
    private int starts;

    /** @param address returns the address of a server for a sidecar, as {@code host:port} */
    DiscoveryState(Scenario scenario, BiFunction<Integer, String, String> address) {
        this.scenario = scenario;
        this.address = address;
        RigFile.servers(scenario).forEach(name -> states.put(name, new State("active", 0)));
    }

    /** Changes the state of a server and returns the line that reports it to discovery. */
    synchronized String update(String server, String word, long startedMs) {
        states.put(server, new State(word, startedMs));
        List<EndpointEntry> rows = new ArrayList<>();
        for (int i = 0; i < scenario.sidecars().count(); i++) {
            rows.add(row(i, server));
        }
        return json(rows);
    }

    /** Returns the endpoints that a sidecar would be told now. */
    synchronized List<EndpointEntry> rows(int sidecar) {
        return states.entrySet().stream()
                .filter(entry -> !entry.getValue().word().equals("left"))
                .map(entry -> row(sidecar, entry.getKey()))
                .toList();
    }

    /** Returns the endpoint list of a starting sidecar: the current one, or an empty one. */
    EndpointListMessage known(int sidecar, boolean includeServers) {
        return includeServers
                ? new EndpointListMessage(1, true, rows(sidecar))
                : new EndpointListMessage(0, true, List.of());
    }

    private EndpointEntry row(int sidecar, String server) {
        int index = List.copyOf(states.keySet()).indexOf(server);
        List<String> zones = scenario.network().zones();
        State state = states.get(server);
        return new EndpointEntry(
                server,
                address.apply(sidecar, server),
                zones.get(index % zones.size()),
                index / SERVERS_PER_CELL,
                state.word(),
                1,
                state.startedMs());
    }

    /** Returns the initial input of discovery for its next start. */
    synchronized String initialInput(DiscoveryCapacity configured) {
        DiscoveryCapacity capacity =
                starts == 0 && !configured.fromFirstStart() ? DiscoveryCapacity.UNLIMITED : configured;
        List<List<EndpointEntry>> rows = new ArrayList<>();
        for (int i = 0; i < scenario.sidecars().count(); i++) {
            rows.add(rows(i));
        }
        return json(new ChildMain.DiscoveryTask(
                capacity.concurrentCalls(),
                capacity.callMs(),
                capacity.callTimeoutMs(),
                capacity.answeredShare(),
                1 + VERSIONS_PER_START * starts++,
                rows));
    }

    static String json(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
