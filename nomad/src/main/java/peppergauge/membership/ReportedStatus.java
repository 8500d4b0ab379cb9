package peppergauge.membership;

import peppergauge.decision.LoadBalancer.EndpointState;

/** Status that a source reports for a server, ordered from best to worst. */
public enum ReportedStatus {

    /** The server may be sent requests. */
    READY("ready"),
    /** The server is reported unhealthy but not removed; it is sent requests only while it responds successfully. */
    SUSPECT("doubted"),
    /** The server finishes its requests and gets no new ones. */
    DRAINING("leaving"),
    /** The server was explicitly removed, rather than just missing from a list. */
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
