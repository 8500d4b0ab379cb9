package peppergauge.fleet.reader;

import peppergauge.forecast.KeyReport;
import peppergauge.session.Opening;

/** Counts sessions' keys. Lives on the sidecar's loop. */
public interface KeySource {

    /** Samples none. */
    KeySource NONE = new KeySource() {
        @Override
        public void opened(Opening opening, String station, double nowMs) { }

        @Override
        public KeyReport report() {
            return null;
        }
    };

    /** A session has come in; must be quick. */
    void opened(Opening opening, String station, double nowMs);

    /** What was counted since the start, null for none. */
    KeyReport report();
}
