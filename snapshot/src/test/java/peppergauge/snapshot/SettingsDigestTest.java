package peppergauge.snapshot;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.settings.SettingsNames;

/** Snapshots are restored only if the digest of the settings is equal, so renames in the code must not change it. */
public class SettingsDigestTest {

    /** Digest that revision e30269d of the program computed. */
    private static final String STORED = "2353e532fdd7eaf403e7714ca1f47451bb7ce2bdc49599a94a35968908ed1913";

    private static Settings settings(double firstObjectiveMs) {
        List<RequestClass> classes = List.of(
                new RequestClass(firstObjectiveMs, 300, 2, 0.5, Idempotency.IDEMPOTENT, KeyScope.ALL, 0),
                new RequestClass(200, 600, 1, 0, Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, 4_000),
                new RequestClass(200, 200, 5, 1, Idempotency.NON_IDEMPOTENT, KeyScope.CELL, 10));
        return new Settings(
                0,
                4,
                0,
                1,
                false,
                0.1,
                classes,
                List.of(),
                new Limits(2, false, true, false, true, 1_500, false, 15_000),
                new Rules(0.12, 10_000, 2, 3_000, true, RetryBudgetConfig.UNLIMITED),
                List.of(LoadField.values()));
    }

    @Test
    public void digestOfSameSettingsEqualsStoredDigest() {
        SettingsNames names = new SettingsNames(List.of("read", "put", "pay"), List.of(), List.of());
        assertEquals(SettingsDigest.of(settings(100.5), names), STORED);
        assertNotEquals(SettingsDigest.of(settings(100), names), STORED);
    }
}
