package peppergauge.decision;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Tenant;

public class TenantQuotaTest {

    private final TenantQuota quota = new TenantQuota(List.of(new Tenant(2), new Tenant(0)));

    @Test
    public void bucketHoldsOneSecondOfQuota() {
        assertFalse(quota.isExceededBy(0, 100_000));
        assertFalse(quota.isExceededBy(0, 100_000));
        assertTrue(quota.isExceededBy(0, 100_000));
        assertTrue(quota.isExceededBy(0, 100_499));
        assertFalse(quota.isExceededBy(0, 100_501));
    }

    @Test
    public void tenantsWithoutQuotaAndUnknownTenantsHaveNoLimit() {
        Fixtures.repeat(100, i -> {
            assertFalse(quota.isExceededBy(1, 0));
            assertFalse(quota.isExceededBy(2, 0));
            assertFalse(quota.isExceededBy(-1, 0));
        });
    }
}
