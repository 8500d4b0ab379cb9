package peppergauge.fleet.member;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Status of an instance as another one believes it. Of two beliefs the one with the greater incarnation holds, then the
 * one with the later status.
 *
 * @param name name of the instance
 * @param incarnation greater at each start and with each refutation
 * @param status {@code standing} in JSON
 */
public record Member(
        String name,
        long incarnation,
        @JsonProperty("standing") Status status) {

    /** Status of an instance; of one incarnation a later constant overrides an earlier one. */
    public enum Status {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    boolean overrides(Member other) {
        return incarnation > other.incarnation
                || incarnation == other.incarnation && status.compareTo(other.status) > 0;
    }
}
