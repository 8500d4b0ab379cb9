package peppergauge.nomad.api;

import java.util.List;

/** Agents that are used in rotation: the current one until it fails. Not thread-safe. */
public final class AgentRotation {

    private final List<AgentAddress> agents;
    private int index;

    public AgentRotation(List<AgentAddress> all) {
        this.agents = List.copyOf(all);
    }

    /** Returns the agent to call. */
    public AgentAddress current() {
        return agents.get(index);
    }

    /** Makes the next agent the current one. */
    public void rotate() {
        index = (index + 1) % agents.size();
    }
}
