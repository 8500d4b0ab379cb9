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

/** Asks and waits, on the thread that calls: never the loop's. */
public final class Caller implements AutoCloseable {

    /** Shorter than the server waits for a next request, so that none is sent on a connection that is closing. */
    private static final Timeout KEPT = Timeout.ofSeconds(6);

    private final HttpRequester requester;
    private final Timeout patience;
    private final int mostBytes;

    /**
     * @param patienceMs for the connection, and for each silence after it
     * @param mostBytes of an answer
     */
    public Caller(long patienceMs, int mostBytes) {
        patience = Timeout.ofMilliseconds(patienceMs);
        this.mostBytes = mostBytes;
        requester = RequesterBootstrap.bootstrap()
                .setDefaultMaxPerRoute(1)
                .setMaxTotal(16)
                .setSocketConfig(SocketConfig.custom()
                        .setSoTimeout(patience)
                        .setTcpNoDelay(true)
                        .build())
                .setTimeToLive(KEPT)
                .create();
    }

    /** An answer, of whatever status. */
    public record Answer(int status, byte[] body) {}

    /**
     * @param address {@code host:port}
     * @param body null for a GET
     * @throws IOException if there is no answer in time, or one that is too long
     */
    public Answer call(String address, String path, byte[] body) throws IOException {
        try {
            return once(address, path, body);
        } catch (ConnectException nobody) {
            throw nobody;
        } catch (NoHttpResponseException | SocketException closed) {
            // Likely a connection that was kept from before, to a process that has ended: all calls may come twice.
            requester.closeIdle(TimeValue.ZERO_MILLISECONDS);
            return once(address, path, body);
        }
    }

    private Answer once(String address, String path, byte[] body) throws IOException {
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
                    patience,
                    HttpCoreContext.create(),
                    this::read);
        } catch (HttpException garbage) {
            throw new IOException(garbage);
        }
    }

    private Answer read(ClassicHttpResponse response) throws IOException {
        byte[] bytes = new byte[0];
        if (response.getEntity() != null) {
            // Not closed here: that would read on to the end. The connection is, by whoever called this.
            InputStream in = response.getEntity().getContent();
            bytes = in.readNBytes(mostBytes + 1);
            if (bytes.length > mostBytes) {
                throw new IOException("an answer of over " + mostBytes + " bytes");
            }
        }
        return new Answer(response.getCode(), bytes);
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }
}
