package peppergauge.membership;

/**
 * A server that is to be listed, as the sources report it together.
 *
 * @param reported report of the first source that lists it
 * @param source name of that source
 * @param status worst status of all sources
 */
record Candidate(ReportedEndpoint reported, String source, ReportedStatus status) {

    String address() {
        return reported.address();
    }

    String server() {
        return reported.server();
    }

    boolean isDraining() {
        return status == ReportedStatus.DRAINING;
    }

    /** Returns why it is not ready, in a few words. */
    String describeStatus() {
        return reported.describeStatus(status);
    }

    Candidate withStatus(ReportedStatus other) {
        return new Candidate(reported, source, status.compareTo(other) >= 0 ? status : other);
    }
}
