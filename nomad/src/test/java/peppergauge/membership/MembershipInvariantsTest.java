package peppergauge.membership;

import org.testng.annotations.DataProvider;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;

/** Membership under random load, with assertions on, and with faults planted in its sources. */
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
                "Membership.java",
                "twice.\n                table.remove(elsewhere);\n",
                "twice.\n",
                "the table by address"
            },
            {
                LOAD,
                "Membership.java",
                "                if (there != null) {",
                "                if (false) {",
                "the table by address"
            },
            {LOAD, "Membership.java", "        addresses.remove(entry.server());\n", "", "the table by address"},
            {
                LOAD,
                "Membership.java",
                "if (each.standing() != Standing.LEAVING) {\n                    ready",
                "if (each.standing() != null) {\n                    ready",
                "one that leaves"
            },
            {LOAD, "Voice.java", "        addresses.remove(gone.id());\n", "", "by address and by id"},
            {
                LOAD,
                "Voice.java",
                "!before.equals(told.address())) {\n            drop(before);",
                "!before.equals(told.address())) {\n            addresses.remove(told.id());",
                "by address and by id"
            },
            {
                LOAD,
                "Flapping.java",
                "if (times.size() > MOST_REMEMBERED) {",
                "if (times.isEmpty()) {",
                "departures are kept"
            },
        };
    }
}
