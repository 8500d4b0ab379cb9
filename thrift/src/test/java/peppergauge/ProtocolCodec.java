package peppergauge;

import java.io.IOException;
import java.io.InputStream;

/** Encodes and decodes requests and responses of one protocol, so that the same test runs with each protocol. */
interface ProtocolCodec {

    /**
     * A request as a backend server receives it.
     *
     * @param sequenceId which the response has to repeat; 0 if the protocol has none
     */
    record Request(String method, String id, long remainingMs, String body, int sequenceId) {}

    /**
     * A response as a client receives it.
     *
     * @param outcome served, denied, failed, late, duplicate, unknown or unusable
     * @param retryAfterMs NaN if the response gives no advice
     */
    record Response(String outcome, String body, double retryAfterMs) {}

    /** Reads the input of one connection; returns null at its end. */
    interface Reader {

        Request readRequest() throws IOException;

        Response readResponse() throws IOException;
    }

    Reader newReader(InputStream in);

    /** @param request of the method list, which is safe to retry, of gift, which is not, or of an unknown method */
    byte[] encodeRequest(Request request, String tenant);

    byte[] encodeResponse(Request request, String body);

    /** An error after which the request may have been executed. */
    byte[] encodeError(Request request);

    /** An error that proves that the request was not executed. */
    byte[] encodeNotExecuted(Request request);

    /** Responses that belong to no request or are malformed; after each the request may have been executed. */
    byte[][] encodeInvalidResponses(Request request);
}
