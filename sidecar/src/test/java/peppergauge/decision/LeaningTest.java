package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.ZoneWeightsUpdated;

public class LeaningTest {

    /** Factors of the only tenant for zones 0 to 2, and what share of its draws zone 0 may get of nine alike servers. */
    @DataProvider
    Object[][] factors() {
        return new Object[][] {
            {new double[][] {}, 0.27, 0.40},
            {new double[][] {{1, 1, 1}}, 0.27, 0.40},
            {new double[][] {{0.5, 1, 1}}, 0.14, 0.26},
            {new double[][] {{0.05, 1, 1}}, 0.005, 0.05},
            {new double[][] {{1, 0.5, 0.5}}, 0.50, 0.66},
            {new double[][] {{1}}, 0.27, 0.40},
            {new double[][] {{}}, 0.27, 0.40},
            {new double[][] {{}, {0.05, 1, 1}}, 0.27, 0.40},
        };
    }

    /** Under the steep curve a factor of 0.5 would leave a zone next to nothing, and a busy one's all to an idle one. */
    @Test(dataProvider = "factors")
    public void aStationLeansByTheFactorsThatItWasTold(double[][] factors, double least, double most) {
        Scripted scripted = Scripted.withServers(9);
        scripted.give(new ZoneWeightsUpdated(factors));
        int first = 0;
        for (int i = 0; i < 1_000; i++) {
            String server = scripted.serve("r" + i, 20);
            first += Integer.parseInt(server.substring(1)) % 3 == 0 ? 1 : 0;
            scripted.pass(5);
        }
        Assert.assertTrue(first >= least * 1_000 && first <= most * 1_000, "zone 0 got " + first);
    }

    /** Same seed, same events, same draws: told nothing, told of an empty table, and told after a table that it ended. */
    @Test
    public void withoutATableAllIsDecidedAsIfThereWereNoService() {
        List<Action> untold = drive(List.of());
        Assert.assertEquals(drive(List.of(new ZoneWeightsUpdated(new double[0][]))), untold);
        Assert.assertEquals(
                drive(List.of(
                        new ZoneWeightsUpdated(new double[][] {{0.1, 1, 1}}), new ZoneWeightsUpdated(new double[0][]))),
                untold);
        Assert.assertNotEquals(drive(List.of(new ZoneWeightsUpdated(new double[][] {{0.1, 1, 1}}))), untold);
    }

    /** A station that leans away from the only zone left is served there all the same. */
    @Test
    public void theLastZoneServesWhateverTheTableSays() {
        Scripted scripted = new Scripted(Scripted.settings(true, true, List.of()), 7);
        scripted.list(true, Scripted.servers(1));
        scripted.give(new ZoneWeightsUpdated(new double[][] {{0.05, 1, 1}}));
        for (int i = 0; i < 50; i++) {
            Assert.assertEquals(scripted.serve("r" + i, 20), "s0");
        }
    }

    /** Those that it leans to turn everything away: each session is still answered, by the others. */
    @Test
    public void zonesThatFailAreLeftWhateverTheTableSays() {
        Scripted s = Scripted.withServers(6);
        s.give(new ZoneWeightsUpdated(new double[][] {{0.05, 1, 1}}));
        int served = 0;
        int handled = 0;
        for (int i = 0; i < 400; i++) {
            s.request("r" + i, 0);
            for (; handled < s.actions.size(); handled++) {
                if (s.actions.get(handled) instanceof SendAttempt send) {
                    boolean sound = send.server().equals("s0") || send.server().equals("s3");
                    int attempt = (int) s.actions.subList(0, handled).stream()
                            .filter(before -> before instanceof SendAttempt other
                                    && other.id().equals(send.id()))
                            .count();
                    s.pass(sound ? 20 : 1);
                    s.end(
                            send.id(),
                            attempt,
                            send.server(),
                            sound ? Outcome.SUCCESS : Outcome.OVERLOADED,
                            sound ? 20 : 1);
                    served += sound ? 1 : 0;
                }
            }
            s.pass(20);
        }
        Assert.assertTrue(served > 380, served + " of 400");
    }

    private static List<Action> drive(List<Event> first) {
        Scripted scripted = Scripted.withServers(9);
        first.forEach(scripted::give);
        List<Action> sent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            sent.addAll(Scripted.only(SendAttempt.class, scripted.request("r" + i, i % 3)));
            scripted.pass(7);
        }
        return sent;
    }
}
