package peppergauge.membership;

import java.util.List;

/**
 * What an operator sets; times in milliseconds.
 *
 * @param sources names, the first goes before the others; at least one
 * @param several what several sources mean together
 * @param lossShare more than this share of a source's ready servers missing at once, without a drain or a stop for
 *     each, must be confirmed; 0 to 1
 * @param confirmations lists in a row that must agree before such a loss is believed; from 1
 * @param confirmMs time that must lie between the first and the last of them
 * @param failoverMs silence after which the next source speaks in a source's place
 * @param keepMs silence after which a server that answers nothing is no longer kept while others answer
 * @param answeredMs how long an answer counts as a sign of life
 * @param flaps departures within {@code flapWindowMs} from which on a return is held up; from 1
 * @param flapWindowMs how long a departure is remembered
 * @param firstHoldMs how long the first such return is held up; doubles with each further departure
 * @param longestHoldMs bound of that
 * @param lingerMs how long a server that left is handed out as leaving before it is gone
 */
public record Policy(
        List<String> sources,
        Several several,
        double lossShare,
        int confirmations,
        double confirmMs,
        double failoverMs,
        double keepMs,
        double answeredMs,
        int flaps,
        double flapWindowMs,
        double firstHoldMs,
        double longestHoldMs,
        double lingerMs) {

    /** What several sources mean together. */
    public enum Several {
        /** The first that speaks is believed alone. */
        FIRST,
        /** A server that any lists is one; a leaving sign of any counts. */
        UNION
    }

    /** @throws IllegalArgumentException for what is out of range */
    public Policy {
        sources = List.copyOf(sources);
        if (sources.isEmpty() || lossShare < 0 || lossShare > 1 || confirmations < 1 || flaps < 1) {
            throw new IllegalArgumentException("a policy out of range");
        }
    }

    /** What {@code [membership]} means where nothing is set. */
    public static Policy usual(List<String> sources) {
        return new Policy(
                sources, Several.FIRST, 0.5, 3, 10_000, 30_000, 3_600_000, 5_000, 3, 60_000, 2_000, 30_000, 10_000);
    }

    /**
     * After sources have told nothing but the truth for this long, each at least every {@code everyMs}, the table holds
     * exactly the truth: an older count is given up, then a loss confirmed, then a return no longer held up.
     */
    public double convergesMs(double everyMs) {
        double confirmed = Math.max(confirmMs, confirmations * everyMs) + everyMs;
        return 2 * confirmed + answeredMs + Math.max(flapWindowMs, longestHoldMs) + lingerMs;
    }
}
