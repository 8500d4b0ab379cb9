package peppergauge.nomad.model;

import java.util.Map;

/** Reads the latest result of each check of an allocation ({@code GET /v1/client/allocation/:id/checks}). */
public final class CheckResults {

    private CheckResults() {}

    /** Returns the condition of the allocation's servers of this service. Only a check that fails is considered. */
    public static Condition of(Map<?, ?> response, String service) {
        for (Object each : response.values()) {
            if (each instanceof Map<?, ?> check
                    && JsonFields.text(check, "Status").equals("failure")
                    && (JsonFields.text(check, "Service").isEmpty()
                            || JsonFields.text(check, "Service").equals(service))) {
                return new Condition("", "its check " + JsonFields.text(check, "Check") + " fails");
            }
        }
        return Condition.NONE;
    }
}
