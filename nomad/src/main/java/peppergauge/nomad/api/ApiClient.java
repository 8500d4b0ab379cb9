package peppergauge.nomad.api;

/** Calls Nomad's agents: over sockets, or an emulation of them in virtual time. */
public interface ApiClient {

    /**
     * Starts a GET; on the event loop's thread.
     *
     * @param target path and query, already escaped
     * @param idleTimeoutMs longest time without any data
     * @param timeoutMs longest time until the response is complete; infinite for a stream
     */
    ApiCall get(AgentAddress agent, String target, double idleTimeoutMs, double timeoutMs, ResponseHandler handler);
}
