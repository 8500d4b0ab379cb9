package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.emulator.PromisesByHand.Figures;
import peppergauge.lab.emulator.PromisesByHand.Trouble;
import peppergauge.lab.files.Kinds;
import peppergauge.lab.scenario.Promises.Policy;
import peppergauge.lab.scenario.Scenario;

/** Zone weights under a few randomly drawn incidents; docs/PROMISES.md has the results of many. */
public class PromisesTest {

    private final Scenario stock = Stock.scenario("promises");

    @DataProvider
    public Object[][] troubles() {
        return new Object[][] {{Trouble.SLOW, 1}, {Trouble.CLASS_SLOW, 3}};
    }

    @Test(dataProvider = "troubles")
    public void steeringKeepsMoreThanNone(Trouble trouble, int seed) {
        Figures without = PromisesByHand.run(stock, trouble, Policy.NONE, seed);
        Figures with = PromisesByHand.run(stock, trouble, Policy.STEERING, seed);
        assertTrue(without.balance().penalty() > 0, "nothing to keep");
        assertTrue(with.balance().penalty() < without.balance().penalty(), with + " against " + without);
        assertTrue(with.worth() >= without.worth() - 0.005, with + " against " + without);
    }

    @Test
    public void aCalmDayIsLeftAlone() {
        Figures without = PromisesByHand.run(stock, Trouble.CALM, Policy.NONE, 1);
        Figures with = PromisesByHand.run(stock, Trouble.CALM, Policy.STEERING, 1);
        assertEquals(with, without);
    }

    @Test
    public void contractsAreHeldToTheNamesOfTheScenarioAndReadBack() {
        String text = stock.toToml();
        assertEquals(Scenario.read(Kinds.all().read("p.toml", text).values().orElseThrow()), stock);
        String problems = Kinds.all()
                .read("p.toml", text.replace("station = \"harbour\"", "station = \"harbor\""))
                .problems()
                .toString();
        assertTrue(
                problems.contains("promise.station: names what this scenario does not have; there is city-fm, "
                        + "harbour, hill-radio"),
                problems);
    }
}
