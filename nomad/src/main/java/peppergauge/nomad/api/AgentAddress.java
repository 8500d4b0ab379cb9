package peppergauge.nomad.api;

/** HTTP address of a Nomad agent. */
public record AgentAddress(String host, int port) {

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if the text is not host:port
     */
    public static AgentAddress of(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IllegalArgumentException("agent address: expected host:port, got " + text);
        }
        return new AgentAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
