package peppergauge.fleet.member;

/**
 * Status of an instance as another one believes it. Of two beliefs the one with the greater incarnation holds, then the
 * one with the later status. Sent as JSON under these names.
 *
 * @param name name of the instance
 * @param incarnation greater at each start and with each refutation
 * @param standing status of the instance
 */
public record Member(String name, long incarnation, Status standing) {

    /** Status of an instance; of one incarnation a later constant overrides an earlier one. */
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
