package peppergauge;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

final class HttpSpelling implements Spelling {

    private static final Map<Integer, String> STATUS = Map.of(
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
    public End on(InputStream in) {
        return new End() {
            @Override
            public Ask ask() throws IOException {
                ScriptedServer.Request request = ScriptedServer.readRequest(in);
                return request == null
                        ? null
                        : new Ask(
                                request.line().split("[ /]")[2],
                                request.header("X-Txn"),
                                Long.parseLong(request.header("X-Remaining-Ms")),
                                new String(request.body(), StandardCharsets.ISO_8859_1),
                                0);
            }

            @Override
            public Answer answer() throws IOException {
                ScriptedServer.Request answer = ScriptedServer.readRequest(in);
                String comeBack = answer == null ? null : answer.header("Retry-After");
                return answer == null
                        ? null
                        : new Answer(
                                STATUS.get(SidecarFixture.status(answer)),
                                new String(answer.body(), StandardCharsets.ISO_8859_1),
                                comeBack == null ? Double.NaN : Double.parseDouble(comeBack) * 1_000);
            }
        };
    }

    @Override
    public byte[] ask(Ask ask, String tenant) {
        boolean list = ask.method().equals("list");
        return bytes((list ? "GET" : "POST") + " /" + ask.method() + "/k HTTP/1.1\r\nHost: h\r\n"
                + (ask.id() == null ? "" : "X-Txn: " + ask.id() + "\r\n") + "X-Org: " + tenant + "\r\nX-Remaining-Ms: "
                + ask.remainingMs() + "\r\n"
                + (list ? "\r\n" : "Content-Length: " + ask.body().length() + "\r\n\r\n" + ask.body()));
    }

    @Override
    public byte[] served(Ask ask, String body) {
        return bytes(ScriptedServer.okResponse(body));
    }

    @Override
    public byte[] error(Ask ask) {
        return bytes("HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n");
    }

    @Override
    public byte[] neverRan(Ask ask) {
        return bytes("HTTP/1.1 503 no\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
    }

    @Override
    public byte[][] spoilt(Ask ask) {
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
