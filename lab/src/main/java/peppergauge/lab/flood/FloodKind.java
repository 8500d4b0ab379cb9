package peppergauge.lab.flood;

import java.nio.charset.StandardCharsets;

/** What the connections of a flood send. */
public enum FloodKind {

    /** Requests without an id and without a time. */
    INVALID(false, true) {
        @Override
        String message(String id) {
            return "GET /read/k HTTP/1.1\r\nHost: h\r\n\r\n";
        }
    },
    /** Readiness checks, which the sidecar answers itself. */
    READY(false, true) {
        @Override
        String message(String id) {
            return "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
        }
    },
    /** Requests of a class that nobody knows, each of another one. */
    NEW_CLASSES(false, true) {
        @Override
        String message(String id) {
            return request("GET", "/c" + id, id, "acme", "");
        }
    },
    /** Requests of a tenant that nobody knows, each of another one. */
    NEW_TENANTS(false, true) {
        @Override
        String message(String id) {
            return request("GET", "/read", id, "t" + id, "");
        }
    },
    /** Valid requests that may be repeated, each for another key. */
    SAFE_REQUESTS(true, true) {
        @Override
        String message(String id) {
            return request("GET", "/read", id, "acme", "");
        }
    },
    /** Valid requests that may not be repeated. */
    UNSAFE_REQUESTS(true, true) {
        @Override
        String message(String id) {
            return request("POST", "/pay", id, "acme", "x".repeat(20));
        }
    },
    /** Valid requests with one id. */
    REPEATED_IDS(true, true) {
        @Override
        String message(String id) {
            return request("GET", "/read", "repeated", "acme", "");
        }
    },
    /** Valid requests with a body in chunks of one byte. */
    SINGLE_BYTE_CHUNKS(true, true) {
        @Override
        String message(String id) {
            return "POST /pay/k HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(200) + "0\r\n\r\n";
        }
    },
    /** Empty lines, which may stand before a request. */
    EMPTY_LINES(false, true) {
        @Override
        String message(String id) {
            return "\r\n".repeat(200);
        }
    },
    /** The start of a head with very many fields, which ends unfinished. */
    MANY_FIELDS(false, false) {
        @Override
        String message(String id) {
            return "GET /read/k HTTP/1.1\r\n" + "a:\r\n".repeat(10_000);
        }
    },
    /** The start of a head with as many short fields as a head of 8 KiB has room for. */
    PARTIAL_HEAD(false, false) {
        @Override
        String message(String id) {
            return "GET /read/k HTTP/1.1\r\n" + "a:\r\n".repeat(2_000);
        }
    },
    /** The first 300 KB of a body of 1 MB. */
    PARTIAL_BODY(false, false) {
        @Override
        String message(String id) {
            return "POST /pay/k HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                    + "\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(300_000);
        }
    };

    private final boolean usesServers;
    private final boolean repeats;

    FloodKind(boolean usesServers, boolean repeats) {
        this.usesServers = usesServers;
        this.repeats = repeats;
    }

    /** Returns one message; {@code id} differs for each. */
    abstract String message(String id);

    /** Whether the messages cause work of servers, so that usual requests compete with them for it. */
    public boolean usesServers() {
        return usesServers;
    }

    /** Whether a connection sends message after message; otherwise it stops after the first one. */
    boolean repeats() {
        return repeats;
    }

    /** Returns some messages, the first of which has this number on its connection. */
    byte[] messages(String connection, long first, int count) {
        StringBuilder text = new StringBuilder();
        for (long number = first; number < first + count; number++) {
            text.append(message(connection + "-" + number));
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String request(String method, String path, String id, String tenant, String body) {
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        return method + " " + path + "/" + id + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\nX-Org: " + tenant
                + "\r\nX-Remaining-Ms: 900\r\n" + length + "\r\n" + body;
    }
}
