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
import peppergauge.thrift.backend.MixedBackend;
import peppergauge.thrift.backend.ThriftBackend;
import peppergauge.thrift.file.ThriftSettings;
import peppergauge.thrift.frontend.ThriftFrontend;

/**
 * Thrift beside HTTP: a listener of its own before the same sessions, and servers that speak it. What a file changes
 * needs a restart.
 */
public final class ThriftExtension implements SidecarExtension {

    /** Descriptors of the program itself, as the sidecar counts them. */
    private static final int OWN_SOCKETS = 40;

    private final Values file;
    private ThriftSettings settings;
    /** Null until it has started; a sidecar may be told to end before. */
    private volatile ThriftFrontend frontend;

    /** @param file that was read without problems, of a kind that has a {@code ThriftSection} */
    public ThriftExtension(Values file) {
        this.file = file;
    }

    /** @throws IllegalArgumentException if the file names a class or tenant that the settings do not have */
    @Override
    public Backend wrapBackend(Backend http, Context parts) {
        settings = ThriftSettings.read(file, parts.settingsNames());
        // All of what the HTTP end may hold, for as a rule only one of the two holds any; docs/THRIFT.md says more.
        int places = (parts.config().maxSockets() - OWN_SOCKETS) / 2;
        ThriftBackend thrift = new ThriftBackend(
                new ThriftBackend.Links(
                        parts.clock(),
                        parts.loop(),
                        parts.overload()::likelyArrivalMs,
                        parts.settings().loadFields(),
                        connectTimeoutMs(parts.config().settings()),
                        parts.settings().limits().connectionIdleMs(),
                        places),
                settings.serversForm(),
                settings.bounds(),
                settings.methods(),
                settings.probe());
        return new MixedBackend(http, thrift, server -> settings.speaksThrift(server.id()));
    }

    private static double connectTimeoutMs(Map<String, Object> settings) {
        return settings.get("limits") instanceof Map<?, ?> limits
                        && limits.get("connectTimeoutMs") instanceof Number number
                ? number.doubleValue()
                : 1_000;
    }

    @Override
    public void onStarting(RequestHandler intake, RequestDispatcher sessions, Context parts)
            throws IOException, InterruptedException {
        frontend = new ThriftFrontend(
                settings.form(),
                settings.bounds(),
                settings.methods(),
                intake,
                parts.clock(),
                parts.loop(),
                parts.overload(),
                parts.clients());
        frontend.start(settings.listen());
        Log.line("start", "Thrift is served on " + frontend.address());
    }

    @Override
    public void onStopping() {
        if (frontend != null) {
            frontend.stop();
        }
    }

    /** Where clients connect; only once it has started. */
    public InetSocketAddress address() {
        return frontend.address();
    }

    /** Oneway calls that no server got, as far as that is known, since the start. */
    public long lostOneways() {
        return frontend.lostOneways();
    }
}
