package peppergauge.nomad.picture;

import java.util.Map;

/** Reads {@code GET /v1/client/allocation/:id/checks}: the latest result of each check of an allocation. */
public final class Checks {

    private Checks() {}

    /** What speaks against the allocation's servers of this service; checks that are pending say nothing. */
    public static Signs of(Map<?, ?> answer, String service) {
        for (Object each : answer.values()) {
            if (each instanceof Map<?, ?> check
                    && Fields.text(check, "Status").equals("failure")
                    && (Fields.text(check, "Service").isEmpty()
                            || Fields.text(check, "Service").equals(service))) {
                return new Signs("", "its check " + Fields.text(check, "Check") + " fails");
            }
        }
        return Signs.NONE;
    }
}
