package peppergauge.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.request.EndpointUpdate;

public class MembershipTest {

    private static final MembershipConfig FIRST = MembershipConfig.defaults(List.of("n", "p"));

    private static MembershipConfig union() {
        return new MembershipConfig(
                FIRST.sources(),
                MembershipConfig.SourceMode.UNION,
                0.5,
                3,
                10_000,
                30_000,
                3_600_000,
                5_000,
                3,
                60_000,
                2_000,
                30_000,
                10_000);
    }

    @DataProvider
    public Object[][] cases() {
        return new Object[][] {
            {"new server is listed at once", FIRST, "0 list 1 a; 1 list 2 a b", "a b", "new, by n, b"},
            {
                "draining server is drained at once",
                FIRST,
                "0 list 1 a b; 1 change b-",
                "a b-",
                "leaving, by n, b: sign of b"
            },
            {
                "stopped server is drained at once, then removed",
                FIRST,
                "0 list 1 a b; 1 change b!; 12 tick",
                "a",
                "gone, b"
            },
            {"small loss is accepted at once", FIRST, "0 list 1 a b c; 1 list 2 a b", "a b c-", "no source lists"},
            {"single empty list is not accepted", FIRST, "0 list 1 a b; 1 list 2", "a b", "2 of 2 servers are missing"},
            {
                "three empty lists within a short time are not accepted",
                FIRST,
                "0 list 1 a b; 1 list 2; 2 list 2; 3 list 2",
                "a b",
                "unconfirmed"
            },
            {
                "three empty lists over a long enough time are accepted",
                FIRST,
                "0 list 1 a b; 1 list 2; 6 list 2; 11 list 2",
                "a- b-",
                "confirmed"
            },
            {
                "server that responds stays when the list is empty",
                FIRST,
                "0 list 1 a b; 1 list 2; 6 list 2; 10 response a; 11 list 2",
                "a b-",
                "kept, a: missing, but it responds"
            },
            {
                "scale-down is accepted if each server was reported draining",
                FIRST,
                "0 list 1 a b; 1 change a- b-; 2 list 3",
                "a- b-",
                "leaving"
            },
            {
                "complete list after an empty one starts the confirmation again",
                FIRST,
                "0 list 1 a b; 1 list 2; 6 list 3 a b; 12 list 4",
                "a b",
                "unconfirmed"
            },
            {
                "small loss after an empty list is accepted",
                FIRST,
                "0 list 1 a b c; 1 list 2; 2 list 3 a b",
                "a b c-",
                "unconfirmed"
            },
            {
                "large loss of draining servers is accepted",
                FIRST,
                "0 list 1 a b c d; 1 change a- b- c-; 2 list 2 d; 13 tick",
                "d",
                "gone"
            },
            {
                "large loss is accepted when it is confirmed",
                FIRST,
                "0 list 1 a b c; 1 list 2 a; 6 list 2 a; 11 list 2 a; 22 tick",
                "a",
                "confirmed, by n, b: missing from 3 lists"
            },
            {
                "list that is not authoritative removes no server",
                FIRST,
                "0 list 1 a b c; 1 stale 2 a b; 9 stale 2 a b; 20 stale 2 a b",
                "a b c",
                "from a list that is not authoritative"
            },
            {
                "older list neither adds nor reinstates a server",
                FIRST,
                "0 list 5 a b; 1 list 6 a b-; 2 list 5 a b c",
                "a b-",
                "older, by n: a list of version 5 after 6"
            },
            {"draining server of an older list is drained", FIRST, "0 list 5 a b; 2 list 4 a b-", "a b-", "leaving"},
            {
                "lower version is accepted when it is confirmed",
                FIRST,
                "0 list 50 a b; 1 list 3 a b c; 6 list 3 a b c; 11 list 3 a b c",
                "a b c",
                "replaces 50"
            },
            {
                "servers of a silent source stay",
                FIRST,
                "0 list 1 a b; 1 lost; 301 tick",
                "a b",
                "silent; its 2 servers are kept"
            },
            {
                "after retention only servers that respond stay",
                FIRST,
                "0 list 1 a b; 1 lost; 3699 response a; 3700 tick",
                "a b-",
                "silent"
            },
            {
                "after retention all servers stay if none responds",
                FIRST,
                "0 list 1 a b; 1 lost; 9999 tick",
                "a b",
                "silent"
            },
            {
                "new id at the same address replaces the server",
                FIRST,
                "0 list 1 a b; 1 list 2 c/a b",
                "b c",
                "gone, a: another server is at its address"
            },
            {
                "server that moves is listed at its new address",
                FIRST,
                "0 list 1 a b; 1 change a/x",
                "a b",
                "new, by n, a: at h:x"
            },
            {
                "return of a flapping server is suppressed",
                FIRST,
                "0 list 1 a b; 1 change b-; 2 change b; 3 change b-; 4 change b; 5 change b-;" + "6 change b",
                "a b-",
                "held up, by n, b"
            },
            {
                "suppression of a flapping server ends",
                FIRST,
                "0 list 1 a b; 1 change b-; 2 change b; 3 change b-; 4 change b; 5 change b-; 6 change b;" + "8 tick",
                "a b",
                "held up"
            },
            {"suspect server is drained while others are ready", FIRST, "0 list 1 a b?", "a b-", "not ready: sign of b"
            },
            {
                "suspect server that responds stays ready",
                FIRST,
                "0 list 1 a b; 1 response b; 2 change b?",
                "a b",
                "kept, by n, b: sign of b, but it responds"
            },
            {"all servers suspect: all are ready", FIRST, "0 list 1 a? b?", "a b", "no other server is left"},
            {
                "first source has precedence",
                FIRST,
                "0 p:list 1 a b; 1 list 9 a b c; 2 p:list 2 a",
                "a b c",
                "n: is used from now on instead of p"
            },
            {"empty first list is not accepted", FIRST, "0 p:list 1 a b; 1 list 9", "a b", "2 of 2 servers"},
            {"short first list is not accepted", FIRST, "0 p:list 1 a b c; 1 list 9 a", "a b c", "2 of 3 servers"},
            {
                "restart with the seeded list only",
                FIRST,
                "0 seed a b c; 1 lost; 2 tick; 300 list 7 a b d",
                "a b c- d",
                "new, by n, d"
            },
            {
                "second source takes over from a silent one",
                FIRST,
                "0 p:list 1 a b c; 1 list 9 a b; 2 lost; 33 tick",
                "a b c",
                "p: is used from now on instead of n"
            },
            {"union: any source lists or drains a server", union(), "0 list 1 a b; 1 p:list 1 b- c", "a b- c", "leaving"
            },
            {
                "union: another source's id for the same address is the same server",
                union(),
                "0 list 1 a; 1 p:list 1 z/a",
                "a",
                "new, by n, a"
            },
        };
    }

    @Test(dataProvider = "cases")
    public void publishesExpectedTableAndReason(
            String name, MembershipConfig config, String lines, String expectedTable, String expectedReason) {
        MembershipScript script = new MembershipScript(config);
        for (String line : lines.split(";")) {
            script.run(line);
        }
        assertEquals(script.describeTable(), expectedTable, script.reasons.toString());
        assertTrue(
                script.reasons.stream().anyMatch(reason -> reason.toString().contains(expectedReason)),
                script.reasons.toString());
    }

    /** The load balancer learns latencies by server kind, so an endpoint that is created again must keep its kind. */
    @Test
    public void serverKeepsItsKindWhenItsStatusChanges() {
        Membership membership = new MembershipScript(FIRST).membership;
        Endpoint endpoint = new Endpoint("a", 0, 0, EndpointState.READY, 0, 7);
        List<EndpointUpdate.EndpointAddress> published = new ArrayList<>();
        for (ReportedStatus status : List.of(ReportedStatus.READY, ReportedStatus.DRAINING, ReportedStatus.READY)) {
            ReportedEndpoint reported = new ReportedEndpoint(endpoint, "h:a", status, "");
            membership
                    .onUpdate(1_000 * (published.size() + 1), new SourceUpdate.Changes("n", 0, List.of(reported)))
                    .update()
                    .ifPresent(update -> published.addAll(update.endpoints()));
        }
        assertEquals(published.size(), 3, published.toString());
        assertTrue(published.stream().allMatch(each -> each.endpoint().kind() == 7), published.toString());
    }

    @Test
    public void changeAmongThousandServersTakesLessThanTenMilliseconds() {
        MembershipScript script = new MembershipScript(FIRST);
        StringBuilder all = new StringBuilder("0 list 1");
        for (int i = 0; i < 1_000; i++) {
            all.append(" s").append(i);
        }
        script.run(all.toString());
        double bestUs = Double.MAX_VALUE;
        for (int round = 0; round < 20; round++) {
            long startedNs = System.nanoTime();
            for (int i = 0; i < 50; i++) {
                script.run(2 + round + " change s" + (round * 50 + i) + "-");
            }
            bestUs = Math.min(bestUs, (System.nanoTime() - startedNs) / 50e3);
        }
        System.out.println("membership: " + (long) bestUs + " us per change at 1,000 servers");
        assertTrue(bestUs < 10_000, "expected less than 10,000 us per change, measured " + bestUs + " us");
    }
}
