package peppergauge.nomad;

import java.util.List;
import java.util.function.Consumer;
import peppergauge.membership.Decided;
import peppergauge.membership.Membership;
import peppergauge.membership.News;
import peppergauge.membership.Reason;
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
    private final Consumer<Reason> reasons;
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
            Consumer<Reason> reasons) {
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
            took(membership.at(clock.nowMs()));
            loop.schedule(TICK_MS, this::tick);
        }
    }

    /** Nothing comes out any more; from any thread. */
    public void close() {
        closed = true;
    }

    @Override
    public boolean tell(News news) {
        return closed || took(membership.on(clock.nowMs(), news));
    }

    @Override
    public boolean confirms(String source) {
        return membership.confirms(source);
    }

    /** The server at this address served an attempt. */
    public void answered(String address) {
        membership.answered(clock.nowMs(), address);
    }

    /** A backend that tells of answers as they come, on whichever thread they end. */
    public Backend watching(Backend behind, Consumer<Runnable> onLoop) {
        return new AnsweringBackend(behind, address -> onLoop.accept(() -> answered(address)));
    }

    private boolean took(Decided decided) {
        decided.reasons().forEach(reasons);
        decided.table().ifPresent(tables);
        return decided.counted();
    }
}
