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

public class ZoneWeightsTest {

    /** Weights of the only tenant for zones 0 to 2, and bounds of zone 0's share of draws among nine equal servers. */
    @DataProvider
    Object[][] weights() {
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

    /** Weights are shares of requests: as weights of the steep server weights they would count far too much. */
    @Test(dataProvider = "weights")
    public void aTenantPrefersZonesByTheirWeights(double[][] weights, double least, double most) {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(9);
        scripted.give(new ZoneWeightsUpdated(weights));
        int first = 0;
        for (int i = 0; i < 1_000; i++) {
            String server = scripted.serve("r" + i, 20);
            first += Integer.parseInt(server.substring(1)) % 3 == 0 ? 1 : 0;
            scripted.pass(5);
        }
        Assert.assertTrue(first >= least * 1_000 && first <= most * 1_000, "zone 0 got " + first);
    }

    /** The draws are the same without an update, with empty weights, and with weights that were removed again. */
    @Test
    public void withoutWeightsDecisionsAreUnchanged() {
        List<Action> withoutUpdate = drive(List.of());
        Assert.assertEquals(drive(List.of(new ZoneWeightsUpdated(new double[0][]))), withoutUpdate);
        Assert.assertEquals(
                drive(List.of(
                        new ZoneWeightsUpdated(new double[][] {{0.1, 1, 1}}), new ZoneWeightsUpdated(new double[0][]))),
                withoutUpdate);
        Assert.assertNotEquals(drive(List.of(new ZoneWeightsUpdated(new double[][] {{0.1, 1, 1}}))), withoutUpdate);
    }

    /** A tenant with a low weight for the only zone left is served there nevertheless. */
    @Test
    public void theLastZoneServesWhateverItsWeight() {
        ScriptedLoadBalancer scripted =
                new ScriptedLoadBalancer(ScriptedLoadBalancer.settings(true, true, List.of()), 7);
        scripted.list(true, ScriptedLoadBalancer.servers(1));
        scripted.give(new ZoneWeightsUpdated(new double[][] {{0.05, 1, 1}}));
        for (int i = 0; i < 50; i++) {
            Assert.assertEquals(scripted.serve("r" + i, 20), "s0");
        }
    }

    /** The preferred zones reject everything: each request is still served, by the other zone. */
    @Test
    public void failingZonesAreAvoidedWhateverTheirWeight() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(6);
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
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(9);
        first.forEach(scripted::give);
        List<Action> sent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            sent.addAll(ScriptedLoadBalancer.only(SendAttempt.class, scripted.request("r" + i, i % 3)));
            scripted.pass(7);
        }
        return sent;
    }
}
