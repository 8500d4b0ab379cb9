package peppergauge;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** HTTP as the sidecar's frontend and backend speak it. */
final class HttpProtocolCodec implements ProtocolCodec {

    private static final Map<Integer, String> OUTCOMES_BY_STATUS = Map.of(
            200,
            "served",
            503,
            "denied",
            502,
            "failed",
            504,
            "late",
            409,
            "duplicate",
            404,
            "unknown",
            400,
            "unusable");

    @Override
    public Reader newReader(InputStream in) {
        return new Reader() {
            @Override
            public Request readRequest() throws IOException {
                ScriptedServer.Request request = ScriptedServer.readRequest(in);
                return request == null
                        ? null
                        : new Request(
                                request.line().split("[ /]")[2],
                                request.header("X-Txn"),
                                Long.parseLong(request.header("X-Remaining-Ms")),
                                new String(request.body(), StandardCharsets.ISO_8859_1),
                                0);
            }

            @Override
            public Response readResponse() throws IOException {
                ScriptedServer.Request response = ScriptedServer.readRequest(in);
                String retryAfter = response == null ? null : response.header("Retry-After");
                return response == null
                        ? null
                        : new Response(
                                OUTCOMES_BY_STATUS.get(SidecarFixture.status(response)),
                                new String(response.body(), StandardCharsets.ISO_8859_1),
                                retryAfter == null ? Double.NaN : Double.parseDouble(retryAfter) * 1_000);
            }
        };
    }

    @Override
    public byte[] encodeRequest(Request request, String tenant) {
        boolean isList = request.method().equals("list");
        return bytes((isList ? "GET" : "POST") + " /" + request.method() + "/k HTTP/1.1\r\nHost: h\r\n"
                + (request.id() == null ? "" : "X-Txn: " + request.id() + "\r\n") + "X-Org: " + tenant
                + "\r\nX-Remaining-Ms: " + request.remainingMs() + "\r\n"
                + (isList ? "\r\n" : "Content-Length: " + request.body().length() + "\r\n\r\n" + request.body()));
    }

    @Override
    public byte[] encodeResponse(Request request, String body) {
        return bytes(ScriptedServer.okResponse(body));
    }

    @Override
    public byte[] encodeError(Request request) {
        return bytes("HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n");
    }

    @Override
    public byte[] encodeNotExecuted(Request request) {
        return bytes("HTTP/1.1 503 no\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
    }

    @Override
    public byte[][] encodeInvalidResponses(Request request) {
        return new byte[][] {bytes("nonsense\r\n\r\n"), bytes("HTTP/1.1 101 Switching\r\n\r\n")};
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public String toString() {
        return "HTTP";
    }
}
