package peppergauge.fleet.member;

/**
 * Status of an instance in the view of another one. Of two statuses the one with the greater incarnation overrides the
 * other; within one incarnation the later constant does. Sent as JSON under these names.
 *
 * @param name name of the instance
 * @param incarnation greater at each start and with each refutation
 * @param standing status of the instance
 */
public record Member(String name, long incarnation, Status standing) {

    /** Status of an instance; within one incarnation a later constant overrides an earlier one. */
    public enum Status {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    boolean overrides(Member other) {
        return incarnation > other.incarnation
                || incarnation == other.incarnation && standing.compareTo(other.standing) > 0;
    }
}
