package peppergauge.nomad.api;

/** Calls Nomad's agents, over sockets or in an emulation in virtual time. */
public interface ApiClient {

    /**
     * Starts a GET request. Must be called on the event loop's thread.
     *
     * @param target path and query, URL-encoded
     * @param idleTimeoutMs longest time without any data
     * @param timeoutMs longest time until the response is complete; infinite for a stream
     */
    ApiCall get(AgentAddress agent, String target, double idleTimeoutMs, double timeoutMs, ResponseHandler handler);
}
