package peppergauge.lab.play;

/** What a client wants, over all its tries. */
final class Wish {

    final int kind;
    final int tenant;
    /** 0 is none. */
    final int key;
    /** At a backend server, ms of a standard core. */
    final double workMs;

    final double worth;
    final double arrivedMs;
    final double deadlineMs;
    final boolean honours;
    final boolean unsafe;
    final boolean poison;
    /** Of its arrival, for the counts by second. */
    int second;

    int tries;
    /** How often a server began to work on it. */
    int ran;

    Wish(
            int kind,
            int tenant,
            int key,
            double workMs,
            double worth,
            double arrivedMs,
            double deadlineMs,
            boolean honours,
            boolean unsafe,
            boolean poison) {
        this.kind = kind;
        this.tenant = tenant;
        this.key = key;
        this.workMs = workMs;
        this.worth = worth;
        this.arrivedMs = arrivedMs;
        this.deadlineMs = deadlineMs;
        this.honours = honours;
        this.unsafe = unsafe;
        this.poison = poison;
    }
}
