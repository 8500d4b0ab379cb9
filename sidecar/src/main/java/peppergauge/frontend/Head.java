package peppergauge.frontend;

import java.util.List;
import java.util.function.Function;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import peppergauge.http.Headers;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;

/** A request's head as the frontend's rules read it. */
record Head(
        String id,
        int requestClass,
        int tenant,
        double remainingMs,
        boolean clientRetry,
        String verb,
        String target,
        List<Message.Field> fields) {

    private static final int LONGEST_ID = 128;
    /** More than any client waits; it bounds how long a session may be kept. */
    private static final double LONGEST_WAIT_MS = 3_600_000;

    /** A head that is answered at once and never passed on. */
    static final class Unusable extends Exception {

        private static final long serialVersionUID = 1L;
        final int status;
        /** For 405, the verb that would do. */
        final String allow;

        Unusable(int status, String why, String allow) {
            super(why);
            this.status = status;
            this.allow = allow;
        }

        Unusable(int status, String why) {
            this(status, why, null);
        }
    }

    static Head read(HttpRequest request, RequestClassifier site) throws Unusable {
        String target = request.getRequestUri();
        int requestClass = site.classOf(target);
        if (requestClass < 0) {
            throw new Unusable(404, "no class has this path");
        }
        String verb = site.verbOf(requestClass);
        if (!verb.equals(request.getMethod())) {
            throw new Unusable(405, "this class takes " + verb, verb);
        }
        String id = one(request, Headers.ID, text -> text.length() <= LONGEST_ID ? text : null);
        int tenant = site.hasTenants() ? one(request, Headers.TENANT, site::tenantOf) : 0;
        double remainingMs = one(request, Headers.REMAINING_MS, Head::milliseconds);
        Header retry = request.getFirstHeader(Headers.CLIENT_RETRY);
        return new Head(
                id,
                requestClass,
                tenant,
                remainingMs,
                retry != null && "1".equals(retry.getValue()),
                verb,
                target,
                Headers.endToEnd(request));
    }

    IncomingRequest opening(double arrivedMs, byte[] body) {
        return new IncomingRequest(
                id, requestClass, tenant, remainingMs, clientRetry, arrivedMs, new Message(verb, target, fields, body));
    }

    /** The one value of a header that must be there once and make sense. */
    private static <T> T one(HttpRequest request, String name, Function<String, T> reader) throws Unusable {
        Header[] headers = request.getHeaders(name);
        if (headers.length != 1
                || headers[0].getValue() == null
                || headers[0].getValue().isBlank()) {
            throw new Unusable(400, name + " must be given once");
        }
        T value = reader.apply(headers[0].getValue().trim());
        if (value == null) {
            throw new Unusable(400, name + " is unusable");
        }
        return value;
    }

    private static Double milliseconds(String text) {
        try {
            double ms = Long.parseLong(text);
            return ms >= 0 && ms <= LONGEST_WAIT_MS ? ms : null;
        } catch (NumberFormatException malformed) {
            return null;
        }
    }
}
