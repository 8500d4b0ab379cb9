package peppergauge.forecast;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.forecast.hits.HitRate;
import peppergauge.forecast.trust.TrackRecord;

public class TrackRecordTest {

    private static final HitRate SAID = new HitRate(0.5, 0.45, 0.55);

    @DataProvider
    public Object[][] rows() {
        return new Object[][] {
            // Outcomes in order: r right, m missed the interval, p right but further off than that nothing changes.
            {"rrrrrrrrrr", true}, {"mmmmm", true}, {"mmmmmm", false}, {"mrmrmrmrmrm", false},
            {"mmmmmrrrrrrrrrrrrrrrrrrrrm", true}, {"pppppp", false}, {"mmmmmmrrrrrrrrr", false},
            {"mmmmmmrrrrrrrrrr", true}, {"mmmmmmrrrrrrrrrm", true}, {"mmmmmmmrrrrrmrrr", false},
            {"mmmmmmmmrrrrrrrrrrr", true},
        };
    }

    @Test(dataProvider = "rows")
    public void whatProvesWrongLosesItsSayAndRegainsIt(String row, boolean trusted) {
        TrackRecord record = new TrackRecord();
        for (char each : row.toCharArray()) {
            double seen = each == 'r' ? 0.5 : each == 'm' ? 0.6 : 0.53;
            record.followed(SAID, each == 'p' ? 0.53 : each == 'm' ? 0.3 : 0.49, seen);
        }
        assertEquals(record.trusted(), trusted);
        assertEquals(record.heard(SAID), trusted ? SAID : HitRate.UNKNOWN);
    }

    @DataProvider
    public Object[][] errors() {
        // Seen at 0.58, where 0.45 to 0.55 and, by who says that nothing changes, 0.6 was said.
        return new Object[][] {{0.0, false, false}, {0.03, false, false}, {0.045, true, false}, {0.06, true, true}};
    }

    /** By an estimate's noise alone none loses its say: the interval is wider by it, and so is what counts as worse. */
    @Test(dataProvider = "errors")
    public void anErrorOfWhatWasSeenIsAllowedFor(double error, boolean held, boolean trusted) {
        TrackRecord record = new TrackRecord();
        for (int i = 0; i < 6; i++) {
            assertEquals(record.followed(SAID, 0.6, 0.58, error), held);
        }
        assertEquals(record.trusted(), trusted);
    }
}
