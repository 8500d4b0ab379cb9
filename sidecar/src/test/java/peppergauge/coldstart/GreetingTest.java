package peppergauge.coldstart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class GreetingTest {

    /** 1,000 handshakes a second for all, 4 free, at most 50 ms of waiting, for 10 s. */
    private static final Greeting.Settings SETTINGS = new Greeting.Settings(1_000, 4, 50, 10_000);

    @Test
    public void theFirstFewAreFreeAndEachFurtherOneWaitsForItsTurnButNeverLongerThanTheBound() {
        Greeting greeting = new Greeting(SETTINGS, 20, 0);
        double[] waits = new double[8];
        for (int i = 0; i < waits.length; i++) {
            waits[i] = greeting.openMs(0);
        }
        // 50 a second for each of 20.
        assertEquals(waits, new double[] {0, 0, 0, 0, 20, 40, 50, 50}, 1e-9);
    }

    @Test
    public void placesComeBackWithTimeAndADebtDoesNotGrowWithoutEnd() {
        Greeting greeting = new Greeting(SETTINGS, 20, 0);
        for (int i = 0; i < 1_000; i++) {
            greeting.openMs(0);
        }
        assertTrue(greeting.openMs(20) > 0);
        assertEquals(greeting.openMs(300), 0.0);
    }

    /** 300 sidecars or 3,000 that ask for 100 connections each second: all together, what is said and what is free. */
    @DataProvider
    public Object[][] numbers() {
        return new Object[][] {{300}, {1_000}, {3_000}};
    }

    @Test(dataProvider = "numbers")
    public void allTogetherOpenWhatIsSaidWhateverTheirNumber(int sidecars) {
        Greeting greeting = new Greeting(new Greeting.Settings(1_000, 1, 1e9, 1e9), sidecars, 0);
        double lastMs = 0;
        for (int i = 0; i < 100; i++) {
            lastMs = greeting.openMs(0);
        }
        double perS = 99 * sidecars / (lastMs / 1_000);
        assertEquals(perS, 1_000, 1);
    }

    @Test
    public void afterTheStartNothingWaitsAndAClockThatGoesBackGivesNoPlaces() {
        Greeting greeting = new Greeting(SETTINGS, 20, 1_000);
        for (int i = 0; i < 4; i++) {
            assertEquals(greeting.openMs(1_000), 0.0);
        }
        assertTrue(greeting.openMs(-1e9) > 0);
        assertEquals(greeting.openMs(11_000), 0.0);
        assertEquals(greeting.openMs(1e12), 0.0);
    }

    @DataProvider
    public Object[][] news() {
        return new Object[][] {
            // Whole, servers in it, servers known: an empty list is none, whether servers are known or not.
            {true, 3, 0, true}, {true, 3, 200, true}, {true, 0, 200, false}, {true, 0, 0, false},
            {false, 0, 200, true}, {false, 1, 0, true}, {false, 0, 0, false},
        };
    }

    @Test(dataProvider = "news")
    public void oneIsReadyByNewsThatNamesServersOrLeavesWhatIsKnown(boolean whole, int servers, int known,
            boolean ready) {
        Readiness readiness = new Readiness(2_000, 20_000);
        assertEquals(readiness.isNews(whole, servers, known), ready);
        assertEquals(readiness.waitMs(known), known > 0 ? 2_000 : 20_000, 0.0);
    }
}
