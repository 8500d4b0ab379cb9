package peppergauge.membership;

/**
 * A server to list, with the merged reports of the sources that list it.
 *
 * @param reported report of the first source that lists it
 * @param source name of that source
 * @param status worst status that any source reports for it
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

    /** Returns why the server is not ready, in a few words. */
    String describeStatus() {
        return reported.describeStatus(status);
    }

    /** Returns this candidate with the worse of its status and the other one. */
    Candidate withWorstStatus(ReportedStatus other) {
        return new Candidate(reported, source, status.compareTo(other) >= 0 ? status : other);
    }
}
