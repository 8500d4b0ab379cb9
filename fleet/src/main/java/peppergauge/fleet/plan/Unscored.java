package peppergauge.fleet.plan;

import java.util.Locale;
import peppergauge.forecast.seen.Seen;

/** Why a change, or a forecast of one, was not scored. */
enum Unscored {
    /** No answer is given for such a change. */
    NOT_ASKED,
    SEVERAL_AT_ONCE,
    /** Before what followed was seen. */
    CHANGED_AGAIN,
    /** The change before it was too short ago. */
    NOT_SETTLED,
    /** None stood before it. */
    NO_ANSWER,
    /** A daemon came, went, was restarted or fell silent: what followed is not of the same sessions. */
    DAEMONS_CHANGED,
    /** Some daemons, of a release before, do not tell what is seen by. */
    DAEMONS_WITHOUT_LEVELS,
    /** Sidecars take steps to what they are told, so nothing happens at once. */
    STEERED_BY_STEPS,
    TOO_FEW_ANSWERS,
    /** Each key comes so often that others may have sent it before. */
    NO_SURE_MISSES,
    NO_SURE_HITS,
    /** Remembered keys take hardly less. */
    NO_CLEAR_SAVING,
    REPORTS_TOO_FAR_APART,
    /** Seen, with too great an error. */
    UNSURE;

    static Unscored of(Seen.Lack lack) {
        return switch (lack) {
            case ANSWERS -> TOO_FEW_ANSWERS;
            case SURE_MISSES -> NO_SURE_MISSES;
            case SURE_HITS -> NO_SURE_HITS;
            case SAVING -> NO_CLEAR_SAVING;
            case CLOSE_REPORTS -> REPORTS_TOO_FAR_APART;
            case NOTHING -> UNSURE;
        };
    }

    /** For people. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
