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
 * Membership on a sidecar's one loop: news and answers go in, waits are looked at, tables come out. All on the loop,
 * but for {@link #close}.
 */
public final class Believing implements NomadSource.Sink {

    /** How often waits are looked at, ms. */
    private static final double TICK_MS = 250;

    private final Membership membership;
    private final Scheduler loop;
    private final Clock clock;
    private final Consumer<EndpointUpdate> tables;
    private final Consumer<DecisionReason> reasons;
    private volatile boolean closed;

    /**
     * @param tables takes each change of the table
     * @param reasons takes the reason of each decision
     */
    public Believing(
            Membership membership,
            Scheduler loop,
            Clock clock,
            Consumer<EndpointUpdate> tables,
            Consumer<DecisionReason> reasons) {
        this.membership = membership;
        this.loop = loop;
        this.clock = clock;
        this.tables = tables;
        this.reasons = reasons;
    }

    /** Begins with what was known before any source speaks. */
    public void start(List<EndpointUpdate.EndpointAddress> known) {
        membership.seed(known);
        loop.schedule(TICK_MS, this::tick);
    }

    private void tick() {
        if (!closed) {
            took(membership.onTick(clock.nowMs()));
            loop.schedule(TICK_MS, this::tick);
        }
    }

    /** Nothing comes out any more; from any thread. */
    public void close() {
        closed = true;
    }

    @Override
    public boolean tell(SourceUpdate news) {
        return closed || took(membership.onUpdate(clock.nowMs(), news));
    }

    @Override
    public boolean confirms(String source) {
        return membership.isConfirmationPending(source);
    }

    /** The server at this address served an attempt. */
    public void answered(String address) {
        membership.onResponse(clock.nowMs(), address);
    }

    /** A backend that tells of answers as they come, on whichever thread they end. */
    public Backend watching(Backend behind, Consumer<Runnable> onLoop) {
        return new AnsweringBackend(behind, address -> onLoop.accept(() -> answered(address)));
    }

    private boolean took(MembershipChange decided) {
        decided.reasons().forEach(reasons);
        decided.update().ifPresent(tables);
        return decided.accepted();
    }
}
