package peppergauge.lab.emulator;

/** A request of a client, over all client attempts. */
final class ClientRequest {

    final World world;
    final long number;
    final int kind;
    final int tenant;
    /** Key of the request; 0 if it has none. */
    final int key;

    final double workMs;
    final double worth;
    final long arrived;
    final long deadline;
    final boolean honours;
    boolean poison;
    /** Second of the first client attempt, for the counts per second. */
    int second;

    int tries;
    boolean settled;
    private int ran;

    ClientRequest(
            World world, long number, int kind, int tenant, int key, double workMs, double worth, boolean honours) {
        this.world = world;
        this.number = number;
        this.kind = kind;
        this.tenant = tenant;
        this.key = key;
        this.workMs = workMs;
        this.worth = worth;
        this.honours = honours;
        this.arrived = world.time.now();
        this.deadline =
                arrived + VirtualTime.ticks(world.figures.classes.get(kind).deadlineMs());
    }

    boolean unsafe() {
        return world.figures.classes.get(kind).idempotency()
                == peppergauge.decision.LoadBalancer.Idempotency.NON_IDEMPOTENT;
    }

    /** Records that a server has begun to execute the request, whether or not a response is ever received. */
    void ran(BackendServer server) {
        if (++ran > 1 && unsafe()) {
            world.rulebook.broken(
                    Rulebook.Rule.TWICE,
                    "request " + number + " of class "
                            + world.scenario.classes().get(kind).name() + " ran again, at " + server.id());
        }
    }

    boolean hasRun() {
        return ran > 0;
    }
}
