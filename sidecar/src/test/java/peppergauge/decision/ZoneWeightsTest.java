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

    /** Zone weights by tenant for zones 0 to 2, and bounds of zone 0's share of requests to nine equal servers. */
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

    /** Zone weights are shares of requests. As factors of the server weights, they would have a far stronger effect. */
    @Test(dataProvider = "weights")
    public void sendsShareOfRequestsToZoneByItsWeight(double[][] weights, double least, double most) {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(9);
        scripted.deliver(new ZoneWeightsUpdated(weights));
        int first = 0;
        for (int i = 0; i < 1_000; i++) {
            String server = scripted.serve("r" + i, 20);
            first += Integer.parseInt(server.substring(1)) % 3 == 0 ? 1 : 0;
            scripted.advance(5);
        }
        Assert.assertTrue(
                first >= least * 1_000 && first <= most * 1_000,
                "expected a share of " + least + " to " + most + " in zone 0 but was " + first + " of 1000");
    }

    /** Decisions are the same without an update, with empty weights, and after weights were removed again. */
    @Test
    public void emptyWeightsDoNotChangeDecisions() {
        List<Action> withoutUpdate = drive(List.of());
        Assert.assertEquals(drive(List.of(new ZoneWeightsUpdated(new double[0][]))), withoutUpdate);
        Assert.assertEquals(
                drive(List.of(
                        new ZoneWeightsUpdated(new double[][] {{0.1, 1, 1}}), new ZoneWeightsUpdated(new double[0][]))),
                withoutUpdate);
        Assert.assertNotEquals(drive(List.of(new ZoneWeightsUpdated(new double[][] {{0.1, 1, 1}}))), withoutUpdate);
    }

    /** A tenant with a low weight for the only remaining zone is still served there. */
    @Test
    public void lastZoneIsUsedWhateverItsWeight() {
        ScriptedLoadBalancer scripted =
                new ScriptedLoadBalancer(ScriptedLoadBalancer.settings(true, true, List.of()), 7);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(1));
        scripted.deliver(new ZoneWeightsUpdated(new double[][] {{0.05, 1, 1}}));
        for (int i = 0; i < 50; i++) {
            Assert.assertEquals(scripted.serve("r" + i, 20), "s0");
        }
    }

    /** If the preferred zones reject all requests, the other zone serves them. */
    @Test
    public void avoidsFailingZonesWhateverTheirWeights() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(6);
        scripted.deliver(new ZoneWeightsUpdated(new double[][] {{0.05, 1, 1}}));
        int served = 0;
        int handled = 0;
        for (int i = 0; i < 400; i++) {
            scripted.request("r" + i, 0);
            for (; handled < scripted.actions.size(); handled++) {
                if (scripted.actions.get(handled) instanceof SendAttempt send) {
                    boolean isHealthy =
                            send.server().equals("s0") || send.server().equals("s3");
                    int attempt = (int) scripted.actions.subList(0, handled).stream()
                            .filter(before -> before instanceof SendAttempt other
                                    && other.id().equals(send.id()))
                            .count();
                    scripted.advance(isHealthy ? 20 : 1);
                    scripted.end(
                            send.id(),
                            attempt,
                            send.server(),
                            isHealthy ? Outcome.SUCCESS : Outcome.OVERLOADED,
                            isHealthy ? 20 : 1);
                    served += isHealthy ? 1 : 0;
                }
            }
            scripted.advance(20);
        }
        Assert.assertTrue(served > 380, "expected over 380 of 400 requests served but was " + served);
    }

    private static List<Action> drive(List<Event> first) {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(9);
        first.forEach(scripted::deliver);
        List<Action> sent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            sent.addAll(ScriptedLoadBalancer.only(SendAttempt.class, scripted.request("r" + i, i % 3)));
            scripted.advance(7);
        }
        return sent;
    }
}
