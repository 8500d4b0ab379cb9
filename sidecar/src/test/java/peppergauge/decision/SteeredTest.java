package peppergauge.decision;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.decision.Balancer.Send;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.decision.Balancer.Steered;

/** How stations lean to zones. Servers s0, s3 and so on stand in zone 0; requests are of tenant 0. */
class SteeredTest {

    private static final double[][] FROM_ZONE_0 = {{0.05, 1, 1}};

    private static int drawnInZone0(double[][] factors, int requests) {
        Scripted s = Scripted.withServers(6);
        s.give(new Steered(factors));
        int drawn = 0;
        for (int i = 0; i < requests; i++) {
            String server = s.serve("r" + i, 20);
            drawn += server.equals("s0") || server.equals("s3") ? 1 : 0;
        }
        return drawn;
    }

    @Test
    void aFactorIsTheShareOfRequestsForWhichAZoneStands() {
        int leaning = drawnInZone0(FROM_ZONE_0, 3_000);
        assertTrue(leaning > 10 && leaning < 150, leaning + " of 3000: under a twentieth, and never none");
        int other = drawnInZone0(new double[][] {{}, {0.05, 1, 1}}, 3_000);
        assertTrue(other > 800, other + " of 3000: another station's table");
    }

    @Test
    void nobodyWaitsForAZoneThatHasNoRoom() {
        Scripted s = Scripted.withServers(6);
        s.give(new Steered(FROM_ZONE_0));
        s.list(false, List.of(gone("s1", 1), gone("s2", 2), gone("s4", 1), gone("s5", 2)));
        for (int i = 0; i < 100; i++) {
            assertNotNull(s.serve("r" + i, 20));
        }
    }

    private static ServerEntry gone(String id, int zone) {
        return new ServerEntry(id, zone, zone, ServerState.GONE, 0);
    }

    /** Those that it leans to turn everything away: each session is still answered, by the others. */
    @Test
    void zonesThatFailAreLeftWhateverTheTableSays() {
        Scripted s = Scripted.withServers(6);
        s.give(new Steered(FROM_ZONE_0));
        int served = 0;
        int handled = 0;
        for (int i = 0; i < 400; i++) {
            s.request("r" + i, 0);
            for (; handled < s.actions.size(); handled++) {
                if (s.actions.get(handled) instanceof Send send) {
                    boolean sound = send.server().equals("s0") || send.server().equals("s3");
                    int attempt = (int) s.actions.subList(0, handled).stream().filter(before ->
                            before instanceof Send other && other.id().equals(send.id())).count();
                    s.pass(sound ? 20 : 1);
                    s.end(send.id(), attempt, send.server(), sound ? Outcome.SUCCESS : Outcome.OVERLOADED, sound ? 20 : 1);
                    served += sound ? 1 : 0;
                }
            }
            s.pass(20);
        }
        assertTrue(served > 380, served + " of 400");
    }
}
