package peppergauge.nomad.api;

import java.util.List;

/** Rotates over the agents: the current agent is used until it fails. Not thread-safe. */
public final class AgentRotation {

    private final List<AgentAddress> agents;
    private int index;

    public AgentRotation(List<AgentAddress> agents) {
        this.agents = List.copyOf(agents);
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
