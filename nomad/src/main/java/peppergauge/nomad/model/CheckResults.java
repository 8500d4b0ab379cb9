package peppergauge.nomad.model;

import java.util.Map;

/** Reads {@code GET /v1/client/allocation/:id/checks}: the latest result of each check of an allocation. */
public final class CheckResults {

    private CheckResults() {}

    /** Returns the condition of the allocation's servers of this service; pending checks are ignored. */
    public static Condition of(Map<?, ?> answer, String service) {
        for (Object each : answer.values()) {
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
