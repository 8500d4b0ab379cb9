package peppergauge.lab.emulator;

import peppergauge.decision.LoadBalancer.Idempotency;

/** A request of a client, over all client attempts. */
final class ClientRequest {

    final EmulationContext context;
    final long number;
    final int kind;
    final int tenant;
    /** Key of the request; 0 if it has none. */
    final int key;

    final double workMs;
    final double worth;
    final long arrived;
    final long deadline;
    final boolean honoursRetryAfter;
    boolean poison;
    /** Second of the first client attempt, for the counts per second. */
    int second;

    int tries;
    boolean settled;
    private int executions;

    ClientRequest(
            EmulationContext context,
            long number,
            int kind,
            int tenant,
            int key,
            double workMs,
            double worth,
            boolean honoursRetryAfter) {
        this.context = context;
        this.number = number;
        this.kind = kind;
        this.tenant = tenant;
        this.key = key;
        this.workMs = workMs;
        this.worth = worth;
        this.honoursRetryAfter = honoursRetryAfter;
        this.arrived = context.time.now();
        this.deadline =
                arrived + VirtualTime.ticks(context.settings.classes.get(kind).deadlineMs());
    }

    boolean isNonIdempotent() {
        return context.settings.classes.get(kind).idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    /** Records that a server has begun to execute the request, whether or not a response is ever received. */
    void recordExecution(BackendServer server) {
        if (++executions > 1 && isNonIdempotent()) {
            context.rulebook.report(
                    Rulebook.Rule.TWICE,
                    "request " + number + " of class "
                            + context.scenario.classes().get(kind).name() + " ran again, at " + server.id());
        }
    }

    boolean isExecuted() {
        return executions > 0;
    }
}
