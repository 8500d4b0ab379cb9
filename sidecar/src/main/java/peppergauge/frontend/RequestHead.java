package peppergauge.frontend;

import java.util.List;
import java.util.function.Function;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import peppergauge.http.Headers;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;

/**
 * The checked head of a request.
 *
 * @param timeoutMs how long the client waits for the response
 * @param fields the headers to forward
 */
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
    /** Upper bound of the timeout that a client may request. */
    private static final double MAX_TIMEOUT_MS = 3_600_000;

    /** Thrown for an invalid head, with the status of the response; the request is not dispatched. */
    static final class InvalidRequestException extends Exception {

        private static final long serialVersionUID = 1L;
        /** HTTP status of the response. */
        final int status;
        /** The allowed method for status 405, otherwise null. */
        final String allowedMethod;

        InvalidRequestException(int status, String message, String allowedMethod) {
            super(message);
            this.status = status;
            this.allowedMethod = allowedMethod;
        }

        InvalidRequestException(int status, String message) {
            this(status, message, null);
        }
    }

    /**
     * Reads and checks a head.
     *
     * @throws InvalidRequestException if its path, method or one of the required headers is not valid
     */
    static RequestHead read(HttpRequest request, RequestClassifier classifier) throws InvalidRequestException {
        String target = request.getRequestUri();
        int requestClass = classifier.classOf(target);
        if (requestClass < 0) {
            throw new InvalidRequestException(404, "no class has this path");
        }
        String method = classifier.methodOf(requestClass);
        if (!method.equals(request.getMethod())) {
            throw new InvalidRequestException(405, "this class takes " + method, method);
        }
        String id = requiredHeader(request, Headers.REQUEST_ID, text -> text.length() <= MAX_ID_LENGTH ? text : null);
        int tenant = classifier.hasTenants() ? requiredHeader(request, Headers.TENANT, classifier::tenantOf) : 0;
        double timeoutMs = requiredHeader(request, Headers.REMAINING_TIME_MS, RequestHead::parseMs);
        Header retry = request.getFirstHeader(Headers.CLIENT_RETRY);
        return new RequestHead(
                id,
                requestClass,
                tenant,
                timeoutMs,
                retry != null && "1".equals(retry.getValue()),
                method,
                target,
                Headers.endToEnd(request));
    }

    /** Returns the request with its body, received at {@code arrivedMs}. */
    IncomingRequest toRequest(double arrivedMs, byte[] body) {
        return new IncomingRequest(
                id, requestClass, tenant, timeoutMs, clientRetry, arrivedMs, new Message(method, target, fields, body));
    }

    /** The value of a header that must be present once; {@code parser} returns null for an invalid value. */
    private static <T> T requiredHeader(HttpRequest request, String name, Function<String, T> parser)
            throws InvalidRequestException {
        Header[] headers = request.getHeaders(name);
        if (headers.length != 1
                || headers[0].getValue() == null
                || headers[0].getValue().isBlank()) {
            throw new InvalidRequestException(400, name + " must be given once");
        }
        T value = parser.apply(headers[0].getValue().trim());
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
