package peppergauge.nomad;

import java.util.List;
import java.util.function.Consumer;
import peppergauge.membership.DecisionReason;
import peppergauge.membership.Membership;
import peppergauge.membership.MembershipChange;
import peppergauge.membership.SourceUpdate;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.Scheduler;

/**
 * Runs {@link Membership} on the event loop: passes updates and responses to it and publishes its changes. Methods are
 * called on the event loop's thread, except {@link #close} and {@link #wrapBackend}.
 */
public final class MembershipRunner implements NomadSource.UpdateListener {

    private static final double TICK_INTERVAL_MS = 250;

    private final Membership membership;
    private final Scheduler loop;
    private final Clock clock;
    private final Consumer<EndpointUpdate> updates;
    private final Consumer<DecisionReason> reasons;
    private volatile boolean isClosed;

    /**
     * Creates a runner that is started by {@link #start}.
     *
     * @param updates receives each change of the endpoint list
     * @param reasons receives the reason of each decision
     */
    public MembershipRunner(
            Membership membership,
            Scheduler loop,
            Clock clock,
            Consumer<EndpointUpdate> updates,
            Consumer<DecisionReason> reasons) {
        this.membership = membership;
        this.loop = loop;
        this.clock = clock;
        this.updates = updates;
        this.reasons = reasons;
    }

    /** Starts with the endpoints known at startup. */
    public void start(List<EndpointUpdate.EndpointAddress> known) {
        membership.seed(known);
        loop.schedule(TICK_INTERVAL_MS, this::tick);
    }

    private void tick() {
        if (!isClosed) {
            publish(membership.onTick(clock.nowMs()));
            loop.schedule(TICK_INTERVAL_MS, this::tick);
        }
    }

    /** Stops publishing; may be called from any thread. */
    public void close() {
        isClosed = true;
    }

    @Override
    public boolean onUpdate(SourceUpdate update) {
        return isClosed || publish(membership.onUpdate(clock.nowMs(), update));
    }

    @Override
    public boolean isConfirmationPending(String source) {
        return membership.isConfirmationPending(source);
    }

    /** Records that the server at this address responded successfully. */
    public void onResponse(String address) {
        membership.onResponse(clock.nowMs(), address);
    }

    /**
     * Wraps a backend so that its successful responses are recorded here.
     *
     * @param runOnLoop runs a task on the event loop's thread; called from any thread
     */
    public Backend wrapBackend(Backend delegate, Consumer<Runnable> runOnLoop) {
        return new ResponseReportingBackend(delegate, address -> runOnLoop.accept(() -> onResponse(address)));
    }

    private boolean publish(MembershipChange change) {
        change.reasons().forEach(reasons);
        change.update().ifPresent(updates);
        return change.accepted();
    }
}
