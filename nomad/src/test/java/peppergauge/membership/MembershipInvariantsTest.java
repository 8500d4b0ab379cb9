package peppergauge.membership;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.invariant.Loads;
import peppergauge.invariant.PlantedSource;

/** Membership under random load, with assertions on, and with faults planted in its sources. */
public class MembershipInvariantsTest {

    private static final int SEEDS = 100;

    @Test
    public void allHoldsWhateverIsTold() {
        Loads.each("membership", SEEDS, MembershipLoad::run);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"membership/Membership.java", "twice.\n                table.remove(elsewhere);\n", "twice.\n", "the table by address"},
            {"membership/Membership.java", "                if (there != null) {", "                if (false) {",
                "the table by address"},
            {"membership/Membership.java", "        addresses.remove(entry.server());\n", "", "the table by address"},
            {"membership/Membership.java", "if (each.standing() != Standing.LEAVING) {\n                    ready",
                "if (each.standing() != null) {\n                    ready", "one that leaves"},
            {"membership/Voice.java", "        addresses.remove(gone.id());\n", "", "by address and by id"},
            {"membership/Voice.java", "!before.equals(told.address())) {\n            drop(before);",
                "!before.equals(told.address())) {\n            addresses.remove(told.id());", "by address and by id"},
            {"membership/Flapping.java", "if (times.size() > MOST_REMEMBERED) {", "if (times.isEmpty()) {",
                "departures are kept"},
        };
    }

    @Test(dataProvider = "faults")
    public void aPlantedFaultIsFound(String file, String sound, String faulty, String says)
            throws IOException, ReflectiveOperationException {
        new PlantedSource(file, sound, faulty).mustBeFound("peppergauge.membership.MembershipLoad", SEEDS, says);
    }
}
