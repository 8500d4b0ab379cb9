package peppergauge.thrift;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import peppergauge.SidecarExtension;
import peppergauge.log.Log;
import peppergauge.operator.Values;
import peppergauge.request.Backend;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.thrift.backend.ProtocolRoutingBackend;
import peppergauge.thrift.backend.ThriftBackend;
import peppergauge.thrift.file.ThriftSettings;
import peppergauge.thrift.frontend.ThriftFrontend;

/**
 * Adds Thrift to a sidecar: a listener for Thrift clients, whose calls pass the same request handling as HTTP requests,
 * and a backend for servers that speak Thrift. Changes to the operator file need a restart.
 */
public final class ThriftExtension implements SidecarExtension {

    /** Descriptors that the process itself uses; the sidecar reserves the same number. */
    private static final int RESERVED_DESCRIPTORS = 40;

    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

    private final Values operatorFile;
    private ThriftSettings settings;

    /** Null until started; a sidecar may be stopped before. */
    private volatile ThriftFrontend frontend;

    /** @param operatorFile a valid file of a kind that has a {@code ThriftSection} */
    public ThriftExtension(Values operatorFile) {
        this.operatorFile = operatorFile;
    }

    /** @throws IllegalArgumentException if the file names a class or a tenant that the settings do not contain */
    @Override
    public Backend wrapBackend(Backend http, Context context) {
        settings = ThriftSettings.read(operatorFile, context.settingsNames());
        // The same number as for HTTP servers, since usually only one of the two protocols is used; see docs/THRIFT.md.
        int maxSockets = (context.config().maxSockets() - RESERVED_DESCRIPTORS) / 2;
        ThriftBackend thrift = new ThriftBackend(
                new ThriftBackend.Dependencies(
                        context.clock(),
                        context.loop(),
                        context.overload()::likelyArrivalMs,
                        context.settings().loadFields(),
                        connectTimeoutMs(context.config().settings()),
                        context.settings().limits().connectionIdleMs(),
                        maxSockets,
                        context.messageMemory()),
                settings.serverFormat(),
                settings.limits(),
                settings.methods(),
                settings.probeMethod());
        return new ProtocolRoutingBackend(http, thrift, server -> settings.speaksThrift(server.id()));
    }

    private static double connectTimeoutMs(Map<String, Object> settings) {
        return settings.get("limits") instanceof Map<?, ?> limits
                        && limits.get("connectTimeoutMs") instanceof Number number
                ? number.doubleValue()
                : DEFAULT_CONNECT_TIMEOUT_MS;
    }

    @Override
    public void onStarting(RequestHandler requestHandler, RequestDispatcher dispatcher, Context context)
            throws IOException, InterruptedException {
        frontend = new ThriftFrontend(
                settings.clientFormat(),
                settings.limits(),
                settings.methods(),
                requestHandler,
                context.clock(),
                context.loop(),
                context.overload(),
                context.clients(),
                context.messageMemory());
        frontend.start(settings.listen());
        Log.event("thrift_listener_started", "address", frontend.address());
    }

    @Override
    public void onStopping() {
        if (frontend != null) {
            frontend.stop();
        }
    }

    /** The address for Thrift clients, once started. */
    public InetSocketAddress address() {
        return frontend.address();
    }

    /** The number of oneway calls since the start that, as far as known, no server received. */
    public long lostOnewayCalls() {
        return frontend.lostOnewayCalls();
    }
}
