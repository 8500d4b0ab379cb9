package peppergauge.lab.play;

import peppergauge.lab.scenario.ServerGroup;
import peppergauge.lab.standin.Delay;
import peppergauge.lab.standin.EndpointEntry;

/** One backend server across restarts of its process; a replacement in the same slot is another instance. */
final class ServerInstance {

    /** The state within a deployment; whether the process is up is kept apart. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    private final RunContext context;
    private final ServerSlot slot;
    private final String id;
    private final int index;
    private final ServerModel model;
    private State state = State.READY;
    private boolean up = true;
    private boolean silent;
    private long startedUnixMs;
    private int incarnation;

    ServerInstance(RunContext context, ServerSlot slot, String id, int index) {
        this.context = context;
        this.slot = slot;
        this.id = id;
        this.index = index;
        model = new ServerModel(context, slot.kind(), context.random.split());
        ServerGroup kind = slot.kind();
        if (!kind.pauseEvery().isZero()) {
            nextPause(kind.pauseEvery().toNanos() / 1e6, kind.pauseLength().toNanos() / 1e6);
        }
    }

    private void nextPause(double everyMs, double lengthMs) {
        context.after(Delay.exponential(context.random, everyMs), () -> {
            model.pause(lengthMs);
            nextPause(everyMs, lengthMs);
        });
    }

    /** Starts the process, cold. */
    void start() {
        up = true;
        silent = false;
        incarnation++;
        startedUnixMs = System.currentTimeMillis();
        model.start();
        slot.sync();
        context.discovery.changed(this, false);
    }

    /** Kills the process, which resets its connections, and restarts it after a time. */
    void kill(double ms) {
        if (up) {
            stop(false);
            context.discovery.changed(this, true);
            context.after(ms, () -> {
                if (!up && state == State.READY) {
                    start();
                }
            });
        }
    }

    /** The host disappears: connections stay open and silent; it is back after a time. */
    void vanish(double ms) {
        if (up) {
            stop(true);
            context.discovery.changed(this, true);
            context.after(ms, this::start);
        }
    }

    private void stop(boolean unannounced) {
        up = false;
        silent = unannounced;
        incarnation++;
        model.end();
        slot.sync();
    }

    void drain() {
        state = State.DRAINING;
        context.discovery.changed(this, false);
    }

    /** Stops the process for good, by a graceful shutdown. */
    void shutDown() {
        state = State.GONE;
        if (up) {
            stop(false);
        }
        context.discovery.changed(this, false);
    }

    String id() {
        return id;
    }

    int index() {
        return index;
    }

    ServerSlot slot() {
        return slot;
    }

    ServerModel model() {
        return model;
    }

    State state() {
        return state;
    }

    boolean up() {
        return up;
    }

    boolean silent() {
        return silent;
    }

    /** Returns a number that changes with each start and stop; requests in flight across a change are lost. */
    int incarnation() {
        return incarnation;
    }

    /** Returns the server's entry in the endpoint list of one sidecar. */
    EndpointEntry row(int sidecarIndex) {
        String listState = !up || state == State.GONE ? "left" : state == State.DRAINING ? "leaving" : "active";
        return new EndpointEntry(
                id,
                slot.address(sidecarIndex),
                context.scenario.network().zones().get(slot.zone()),
                slot.cell(),
                listState,
                1,
                startedUnixMs);
    }
}
