package peppergauge.fleet.member;

/** What is believed of an instance. Of two such accounts the one of the greater incarnation holds, then the graver. */
public record Member(String name, long incarnation, Standing standing) {

    /** The graver the later. */
    public enum Standing {
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
