package peppergauge.fleet.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.SocketException;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.NoHttpResponseException;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** Makes blocking HTTP calls; not to be used on the event loop's thread. Thread-safe. */
public final class HttpCaller implements AutoCloseable {

    /** Lifetime of pooled connections; shorter than the server's idle timeout, so that none is used while it closes. */
    private static final Timeout CONNECTION_LIFETIME = Timeout.ofSeconds(6);

    private final HttpRequester requester;
    private final Timeout timeout;
    private final int maxResponseBytes;

    /**
     * Creates a caller with a connection pool of its own.
     *
     * @param timeoutMs timeout for the connection and for each read, ms
     * @param maxResponseBytes longest response body
     */
    public HttpCaller(long timeoutMs, int maxResponseBytes) {
        timeout = Timeout.ofMilliseconds(timeoutMs);
        this.maxResponseBytes = maxResponseBytes;
        requester = RequesterBootstrap.bootstrap()
                .setDefaultMaxPerRoute(1)
                .setMaxTotal(16)
                .setSocketConfig(SocketConfig.custom()
                        .setSoTimeout(timeout)
                        .setTcpNoDelay(true)
                        .build())
                .setTimeToLive(CONNECTION_LIFETIME)
                .create();
    }

    /** A response of any status. */
    public record Response(int status, byte[] body) {}

    /**
     * Calls an address and returns its response.
     *
     * @param address {@code host:port}
     * @param body JSON to post, null for a GET
     * @throws IOException if there is no response in time, or the response is malformed or too long
     */
    public Response call(String address, String path, byte[] body) throws IOException {
        try {
            return callOnce(address, path, body);
        } catch (ConnectException refused) {
            throw refused;
        } catch (NoHttpResponseException | SocketException closed) {
            // The likely cause is a pooled connection to a process that has ended. All calls are idempotent.
            requester.closeIdle(TimeValue.ZERO_MILLISECONDS);
            return callOnce(address, path, body);
        }
    }

    private Response callOnce(String address, String path, byte[] body) throws IOException {
        int colon = address.lastIndexOf(':');
        HttpHost host =
                new HttpHost("http", address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        ClassicRequestBuilder request = body == null
                ? ClassicRequestBuilder.get()
                : ClassicRequestBuilder.post().setEntity(body, ContentType.APPLICATION_JSON);
        try {
            return requester.execute(
                    host,
                    request.setHttpHost(host).setPath(path).build(),
                    timeout,
                    HttpCoreContext.create(),
                    this::read);
        } catch (HttpException malformed) {
            throw new IOException(malformed);
        }
    }

    private Response read(ClassicHttpResponse response) throws IOException {
        byte[] bytes = new byte[0];
        if (response.getEntity() != null) {
            // Closing the stream would read the remaining body, so the caller closes the connection instead.
            InputStream in = response.getEntity().getContent();
            bytes = in.readNBytes(maxResponseBytes + 1);
            if (bytes.length > maxResponseBytes) {
                throw new IOException("response body has more than " + maxResponseBytes + " bytes");
            }
        }
        return new Response(response.getCode(), bytes);
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }
}
