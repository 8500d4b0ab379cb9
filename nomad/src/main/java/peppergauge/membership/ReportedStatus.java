package peppergauge.membership;

import peppergauge.decision.LoadBalancer.EndpointState;

/** Status that a source reports for a server, the best first. */
public enum ReportedStatus {

    /** May be sent requests. */
    READY("ready"),
    /** Reported unhealthy, but not to be removed: sent requests only while its responses show that it works. */
    SUSPECT("doubted"),
    /** Finishes its requests and gets no new ones. */
    DRAINING("leaving"),
    /** Explicitly removed: more than missing from a list. */
    STOPPED("stopped");

    private final String label;

    ReportedStatus(String label) {
        this.label = label;
    }

    /** Returns the status as it is written in log lines. */
    String label() {
        return label;
    }

    /** Returns the status for a state of the platform's discovery. */
    public static ReportedStatus of(EndpointState state) {
        return switch (state) {
            case READY -> READY;
            case DRAINING -> DRAINING;
            case REMOVED -> STOPPED;
        };
    }
}
