package peppergauge.membership;

import org.testng.annotations.DataProvider;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;

/** Runs membership under random load, with assertions enabled, unchanged and with planted faults. */
public class MembershipInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 100;
    private static final String LOAD = "MembershipLoad";

    public MembershipInvariantsTest() {
        super("membership/", "peppergauge.membership.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {{"membership", (Loads.Load) MembershipLoad::run, SEEDS}};
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                LOAD,
                "EndpointTable.java",
                "twice.\n                entries.remove(previousAddress);\n",
                "twice.\n",
                "the table by address"
            },
            {
                LOAD,
                "EndpointTable.java",
                "                if (replaced != null) {",
                "                if (false) {",
                "the table by address"
            },
            {LOAD, "EndpointTable.java", "            addresses.remove(entry.server());\n", "", "the table by address"},
            {
                LOAD,
                "Membership.java",
                "if (each.status() != ReportedStatus.DRAINING) {\n                    ready",
                "if (each.status() != null) {\n                    ready",
                "a draining server is listed"
            },
            {
                LOAD,
                "SourceState.java",
                "        addresses.remove(removed.reported.server());\n",
                "",
                "by address and by id"
            },
            {
                LOAD,
                "SourceState.java",
                "!previousAddress.equals(reported.address())) {\n            remove(previousAddress, nowMs);",
                "!previousAddress.equals(reported.address())) {\n            addresses.remove(reported.server());",
                "by address and by id"
            },
            {
                LOAD,
                "FlapDetector.java",
                "if (times.size() > MAX_DEPARTURES) {",
                "if (times.isEmpty()) {",
                "departures are not bounded"
            },
        };
    }
}
