package peppergauge.frontend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.settings.SettingsNames;

public class RequestHeadTest {

    private static RequestClassifier classifier(List<String> tenants) {
        return new RequestClassifier(
                new SettingsNames(List.of("list"), tenants, List.of("z")),
                List.of(new RequestClass(400, 1_000, 1, 0, Idempotency.IDEMPOTENT, KeyScope.ALL, 0)));
    }

    private static BasicHttpRequest request(String tenant) {
        BasicHttpRequest request = new BasicHttpRequest("GET", "/list/k");
        request.addHeader("X-Txn", "t1");
        request.addHeader("X-Remaining-Ms", "900");
        if (tenant != null) {
            request.addHeader("X-Org", tenant);
        }
        return request;
    }

    /** The configured tenants, the tenant header of the request, and the expected tenant number. */
    @DataProvider
    public Object[][] validTenants() {
        return new Object[][] {
            {List.of(), null, 0},
            {List.of(), "anybody", 0},
            {List.of("one", "two"), "one", 0},
            {List.of("one", "two"), "two", 1},
        };
    }

    /** The header was required without configured tenants, where clients do not send it: all requests were rejected. */
    @Test(dataProvider = "validTenants")
    public void readsTheTenantOnlyIfTenantsAreConfigured(List<String> tenants, String tenant, int number)
            throws Exception {
        assertEquals(RequestHead.read(request(tenant), classifier(tenants)).tenant(), number);
    }

    @DataProvider
    public Object[][] invalidTenants() {
        return new Object[][] {{null}, {"three"}, {""}};
    }

    @Test(dataProvider = "invalidTenants")
    public void rejectsAMissingOrUnknownTenantIfTenantsAreConfigured(String tenant) {
        RequestHead.InvalidRequestException rejected = expectThrows(
                RequestHead.InvalidRequestException.class,
                () -> RequestHead.read(request(tenant), classifier(List.of("one", "two"))));
        assertEquals(rejected.status, 400);
    }
}
