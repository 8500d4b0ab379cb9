package peppergauge.lab.rig;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.standin.ServerList;
import peppergauge.lab.standin.ServerRow;

/** What discovery is to tell: of each server its state, and each sidecar's own address of it. Any thread. */
final class DiscoveryState {

    /** Servers that share a cell, as sidecars are told. */
    private static final int SERVERS_PER_CELL = 6;
    /** A list service that is back begins at a version that its last life never reached. */
    private static final long VERSIONS_PER_START = 100_000;

    private record State(String word, long startedMs) {}

    private static final JsonMapper JSON = new JsonMapper();

    private final Scenario scenario;
    private final BiFunction<Integer, String, String> address;
    private final Map<String, State> states = new LinkedHashMap<>();
    private int starts;

    /** @param address of a server for a sidecar, as {@code host:port} */
    DiscoveryState(Scenario scenario, BiFunction<Integer, String, String> address) {
        this.scenario = scenario;
        this.address = address;
        RigFile.servers(scenario).forEach(name -> states.put(name, new State("active", 0)));
    }

    /** The line that tells discovery of the change. */
    synchronized String update(String server, String word, long startedMs) {
        states.put(server, new State(word, startedMs));
        List<ServerRow> rows = new ArrayList<>();
        for (int i = 0; i < scenario.sidecars().count(); i++) {
            rows.add(row(i, server));
        }
        return json(rows);
    }

    /** What a sidecar would be told now. */
    synchronized List<ServerRow> rows(int sidecar) {
        return states.entrySet().stream()
                .filter(entry -> !entry.getValue().word().equals("left"))
                .map(entry -> row(sidecar, entry.getKey()))
                .toList();
    }

    /** What a sidecar that starts knows: what holds now, or nothing. */
    ServerList known(int sidecar, boolean includeServers) {
        return includeServers ? new ServerList(1, true, rows(sidecar)) : new ServerList(0, true, List.of());
    }

    private ServerRow row(int sidecar, String server) {
        int index = List.copyOf(states.keySet()).indexOf(server);
        List<String> zones = scenario.network().zones();
        State state = states.get(server);
        return new ServerRow(
                server,
                address.apply(sidecar, server),
                zones.get(index % zones.size()),
                index / SERVERS_PER_CELL,
                state.word(),
                1,
                state.startedMs());
    }

    /** The first line of a life of discovery's. */
    synchronized String initialInput(DiscoveryCapacity configured) {
        DiscoveryCapacity capacity =
                starts == 0 && !configured.fromFirstStart() ? DiscoveryCapacity.UNLIMITED : configured;
        List<List<ServerRow>> rows = new ArrayList<>();
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
