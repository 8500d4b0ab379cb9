package peppergauge.plugin;

import peppergauge.plugin.rules.PluginChain;
import peppergauge.request.IncomingRequest;
import peppergauge.request.ResponseListener;
import peppergauge.request.Scheduler;

/** The state of a request that waits for the verdicts of plug-ins. Event-loop thread only. */
final class InterceptedRequest {

    final IncomingRequest request;
    final ResponseListener listener;
    /** The plug-ins at the arrival of the request. */
    final PluginSet plugins;

    PluginSet.ClassPlugins classPlugins;
    PluginChain.Position position;
    /** The call whose verdict is awaited; null if none is. */
    RequestCall call;

    Scheduler.ScheduledTask timeout;
    /** The request got its response or was passed to the next handler. */
    boolean isCompleted;

    InterceptedRequest(IncomingRequest request, ResponseListener listener, PluginSet plugins) {
        this.request = request;
        this.listener = listener;
        this.plugins = plugins;
    }

    RunningPlugin currentPlugin() {
        return classPlugins.plugins().get(position.index());
    }
}
