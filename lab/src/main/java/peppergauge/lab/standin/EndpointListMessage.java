package peppergauge.lab.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;

/**
 * A message of discovery.
 *
 * @param full whether the list is complete; otherwise it holds the servers that changed
 */
public record EndpointListMessage(long version, boolean full, List<EndpointEntry> servers) {

    private static final JsonMapper JSON = new JsonMapper();

    /** Copies the list. */
    public EndpointListMessage {
        servers = List.copyOf(servers);
    }

    /** Returns the message as JSON on one line, as a watch gets it. */
    public String json() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
