package peppergauge.nomad.wire;

/** How agents are asked: over sockets, or by whatever stands in their place in virtual time. */
public interface Http {

    /**
     * Asks; on the loop.
     *
     * @param target path and query, already escaped
     * @param silenceMs for how long nothing may come in
     * @param wholeMs within which the answer must be whole; infinite for a stream
     */
    Call get(Agent agent, String target, double silenceMs, double wholeMs, Sink sink);
}
