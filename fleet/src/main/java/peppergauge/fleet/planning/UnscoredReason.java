package peppergauge.fleet.planning;

import java.util.Locale;
import peppergauge.forecast.observation.ObservedHitRate;

/** Why a change, or a forecast of it, was not scored. */
enum UnscoredReason {
    /** No forecast is made for such a change. */
    NOT_ASKED,
    /** Several changes took place at once, such as one of the endpoint list and one of the zone weights. */
    SEVERAL_AT_ONCE,
    /** Another change began before this one was observed. */
    CHANGED_AGAIN,
    /** The change before this one was too recent. */
    NOT_SETTLED,
    /** There was no forecast before it. */
    NO_ANSWER,
    /** A daemon started, ended or fell silent, so the observations are of other requests. */
    DAEMONS_CHANGED,
    /** Some daemons are of an older release and send no response times. */
    DAEMONS_WITHOUT_LEVELS,
    /** Weights change step by step, so the hit rate soon after the change cannot be observed. */
    STEERED_BY_STEPS,
    /** Too few responses were observed. */
    TOO_FEW_ANSWERS,
    /** No key is rare enough that no other sidecar can have sent it shortly before. */
    NO_SURE_MISSES,
    /** Too few responses were for keys that were sent to the same server shortly before. */
    NO_SURE_HITS,
    /** Responses for cached keys are hardly faster than others. */
    NO_CLEAR_SAVING,
    /** The time between reports is too long for the observed time. */
    REPORTS_TOO_FAR_APART,
    /** The observation's standard error is too large. */
    UNSURE;

    static UnscoredReason of(ObservedHitRate.Missing missing) {
        return switch (missing) {
            case ANSWERS -> TOO_FEW_ANSWERS;
            case SURE_MISSES -> NO_SURE_MISSES;
            case SURE_HITS -> NO_SURE_HITS;
            case SAVING -> NO_CLEAR_SAVING;
            case CLOSE_REPORTS -> REPORTS_TOO_FAR_APART;
            case NOTHING -> UNSURE;
        };
    }

    /** Returns the reason as it is stored and shown. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
