package peppergauge.nomad.wire;

/** Where one of Nomad's agents listens for HTTP. */
public record Agent(String host, int port) {

    /** @throws IllegalArgumentException if it is not host:port */
    public static Agent of(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IllegalArgumentException("not host:port: " + text);
        }
        return new Agent(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
