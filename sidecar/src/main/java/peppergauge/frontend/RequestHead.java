package peppergauge.frontend;

import java.util.List;
import java.util.function.Function;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import peppergauge.http.Headers;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;

/** A request's head as the frontend's rules read it. */
record RequestHead(
        String id,
        int requestClass,
        int tenant,
        double timeoutMs,
        boolean clientRetry,
        String method,
        String target,
        List<Message.Field> fields) {

    private static final int MAX_ID_LENGTH = 128;
    /** More than any client waits; it bounds how long a session may be kept. */
    private static final double MAX_TIMEOUT_MS = 3_600_000;

    /** A head that is answered at once and never passed on. */
    static final class InvalidRequestException extends Exception {

        private static final long serialVersionUID = 1L;
        final int status;
        /** For 405, the verb that would do. */
        final String allowedMethod;

        InvalidRequestException(int status, String why, String allow) {
            super(why);
            this.status = status;
            this.allowedMethod = allow;
        }

        InvalidRequestException(int status, String why) {
            this(status, why, null);
        }
    }

    static RequestHead read(HttpRequest request, RequestClassifier site) throws InvalidRequestException {
        String target = request.getRequestUri();
        int requestClass = site.classOf(target);
        if (requestClass < 0) {
            throw new InvalidRequestException(404, "no class has this path");
        }
        String verb = site.methodOf(requestClass);
        if (!verb.equals(request.getMethod())) {
            throw new InvalidRequestException(405, "this class takes " + verb, verb);
        }
        String id = requiredHeader(request, Headers.REQUEST_ID, text -> text.length() <= MAX_ID_LENGTH ? text : null);
        int tenant = site.hasTenants() ? requiredHeader(request, Headers.TENANT, site::tenantOf) : 0;
        double remainingMs = requiredHeader(request, Headers.REMAINING_TIME_MS, RequestHead::parseMs);
        Header retry = request.getFirstHeader(Headers.CLIENT_RETRY);
        return new RequestHead(
                id,
                requestClass,
                tenant,
                remainingMs,
                retry != null && "1".equals(retry.getValue()),
                verb,
                target,
                Headers.endToEnd(request));
    }

    IncomingRequest toRequest(double arrivedMs, byte[] body) {
        return new IncomingRequest(
                id, requestClass, tenant, timeoutMs, clientRetry, arrivedMs, new Message(method, target, fields, body));
    }

    /** The one value of a header that must be there once and make sense. */
    private static <T> T requiredHeader(HttpRequest request, String name, Function<String, T> reader)
            throws InvalidRequestException {
        Header[] headers = request.getHeaders(name);
        if (headers.length != 1
                || headers[0].getValue() == null
                || headers[0].getValue().isBlank()) {
            throw new InvalidRequestException(400, name + " must be given once");
        }
        T value = reader.apply(headers[0].getValue().trim());
        if (value == null) {
            throw new InvalidRequestException(400, name + " is unusable");
        }
        return value;
    }

    private static Double parseMs(String text) {
        try {
            double ms = Long.parseLong(text);
            return ms >= 0 && ms <= MAX_TIMEOUT_MS ? ms : null;
        } catch (NumberFormatException malformed) {
            return null;
        }
    }
}
