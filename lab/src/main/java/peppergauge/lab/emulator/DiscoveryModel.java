package peppergauge.lab.emulator;

import java.util.List;
import peppergauge.lab.nomad.ApiFault;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.Scheduler;

/** Service discovery of the emulated sidecars. It learns of server changes late, and may be unreachable or wrong. */
interface DiscoveryModel {

    /** Registers the initial servers and gives them to every sidecar. */
    void open();

    /**
     * Called when a server has started, drains or has stopped; {@code silently} if the server could not announce it.
     */
    void onServerChanged(BackendServer server, boolean silently);

    /**
     * Called when a process of a sidecar starts.
     *
     * @param known endpoints that the process starts with
     * @return the sidecar's backend, or a wrapper that observes which servers respond
     */
    default Backend wrapBackend(
            EmulatedSidecar sidecar,
            Scheduler loop,
            Clock clock,
            List<EndpointUpdate.EndpointAddress> known,
            Backend backend) {
        return backend;
    }

    /** Resumes the watch of a restarted sidecar. */
    void resumeWatch(EmulatedSidecar sidecar);

    /** Answers no sidecar for the given time. */
    void startOutage(double ms);

    /** Tells all sidecars for the given time that there are no servers. */
    void startEmptyList(double ms);

    /** Delays all updates by {@code addedMs} for the given time. */
    void delayUpdates(double addedMs, double ms);

    /** Applies a fault to Nomad's API for the given time; without effect on other kinds of discovery. */
    default void fault(ApiFault fault, double ms) {}
}
