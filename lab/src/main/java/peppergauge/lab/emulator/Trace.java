package peppergauge.lab.emulator;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;

/** Trace of a run's events: a digest of all events, and the most recent events as text. */
final class Trace {

    static final int KEPT_EVENTS = 200;
    private static final int FIELDS = 6;

    /** Kind of a traced event. The detail is -1 where none is named. */
    enum Kind {
        /** A client attempt begins at its sidecar; detail: the number of its request class. */
        ASKED,
        /** A sidecar begins a backend attempt. */
        SENT,
        /** A sidecar writes the request of a backend attempt to a connection. */
        WRITTEN,
        /** A request has arrived completely at a server. */
        REACHED,
        /** A server starts to execute a request; detail: the number of the request. */
        RAN,
        /** A server has executed a request; detail: the number of the request. */
        DONE,
        /** A backend attempt ends at its sidecar; detail: the ordinal of its outcome. */
        ENDED,
        /** A client attempt ends with a response; detail: the number of the request. */
        SERVED,
        /** A client attempt ends since the sidecar rejected it; detail: the number of the request. */
        DENIED,
        /** A client attempt ends since the sidecar reported a failure; detail: the number of the request. */
        FAILED,
        /** A client attempt times out at the client. */
        LEFT,
        /** A sidecar gets an endpoint update; detail: the version of the update. */
        TOLD,
        /** The state of a server changes; detail: 0 terminated, 1 unresponsive, 2 draining. */
        STATE,
        /** An incident begins; detail: the index of its entry in the script. */
        INCIDENT,
        /** A sidecar gets the result of a probe of a server. */
        PROBED,
        /** The process of a sidecar crashes; detail: the number of the process. */
        CRASHED,
        /** A process starts; detail: the number of the process at a sidecar, the incarnation at a server. */
        STARTED
    }

    private final MessageDigest digest;
    private final byte[] buffer = new byte[FIELDS * Long.BYTES * 256];
    private int filled;
    private final long[] ring = new long[KEPT_EVENTS * FIELDS];
    private long noted;

    Trace() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Records an event; arguments that do not apply are -1.
     *
     * @param detail a number whose meaning the kind defines
     */
    void note(long tick, Kind kind, long sidecar, long clientAttempt, long server, long detail) {
        int at = (int) (noted++ % KEPT_EVENTS) * FIELDS;
        put(at, tick);
        put(at + 1, kind.ordinal());
        put(at + 2, sidecar);
        put(at + 3, clientAttempt);
        put(at + 4, server);
        put(at + 5, detail);
    }

    private void put(int at, long value) {
        ring[at] = value;
        for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
            buffer[filled++] = (byte) (value >>> shift);
        }
        if (filled == buffer.length) {
            digest.update(buffer, 0, filled);
            filled = 0;
        }
    }

    /** Digest of all recorded events; no event may be recorded after this call. */
    String digest() {
        digest.update(buffer, 0, filled);
        filled = 0;
        return HexFormat.of().formatHex(digest.digest());
    }

    /** The most recent events, oldest first. */
    List<String> last(IntFunction<String> serverName) {
        List<String> lines = new ArrayList<>();
        for (long i = Math.max(0, noted - KEPT_EVENTS); i < noted; i++) {
            int at = (int) (i % KEPT_EVENTS) * FIELDS;
            StringBuilder line = new StringBuilder(String.format(
                    Locale.ROOT,
                    "%.3f ms %s",
                    VirtualTime.ms(ring[at]),
                    Kind.values()[(int) ring[at + 1]].name().toLowerCase(Locale.ROOT)));
            line.append(ring[at + 2] < 0 ? "" : " sidecar-" + (ring[at + 2] + 1));
            line.append(ring[at + 3] < 0 ? "" : " session " + ring[at + 3]);
            line.append(ring[at + 4] < 0 ? "" : " " + serverName.apply((int) ring[at + 4]));
            line.append(ring[at + 5] < 0 ? "" : " (" + ring[at + 5] + ")");
            lines.add(line.toString());
        }
        return lines;
    }
}
