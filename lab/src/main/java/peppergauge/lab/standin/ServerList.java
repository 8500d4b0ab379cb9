package peppergauge.lab.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;

/**
 * What discovery tells at once.
 *
 * @param full whether these are all servers there are; else those that changed
 */
public record ServerList(long version, boolean full, List<ServerRow> servers) {

    private static final JsonMapper JSON = new JsonMapper();

    /** A list that nobody changes. */
    public ServerList {
        servers = List.copyOf(servers);
    }

    /** On one line, as on a watch. */
    public String json() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
