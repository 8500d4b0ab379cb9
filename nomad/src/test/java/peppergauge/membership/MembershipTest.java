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
            {"a new server at once", FIRST, "0 whole 1 a; 1 whole 2 a b", "a b", "new, by n, b"},
            {"a drain at once", FIRST, "0 whole 1 a b; 1 tell b-", "a b-", "leaving, by n, b: sign of b"},
            {"a stop at once, then gone", FIRST, "0 whole 1 a b; 1 tell b!; 12 at", "a", "gone, b"},
            {"one missing of three at once", FIRST, "0 whole 1 a b c; 1 whole 2 a b", "a b c-", "no source lists"},
            {"empty once", FIRST, "0 whole 1 a b; 1 whole 2", "a b", "2 of 2 servers are missing"},
            {
                "empty three times within a moment",
                FIRST,
                "0 whole 1 a b; 1 whole 2; 2 whole 2; 3 whole 2",
                "a b",
                "unconfirmed"
            },
            {
                "empty three times, long enough",
                FIRST,
                "0 whole 1 a b; 1 whole 2; 6 whole 2; 11 whole 2",
                "a- b-",
                "confirmed"
            },
            {
                "empty three times, but one answers",
                FIRST,
                "0 whole 1 a b; 1 whole 2; 6 whole 2; 10 answer a; 11 whole 2",
                "a b-",
                "kept, a: missing, but it answers"
            },
            {"true scale-down, each stop told", FIRST, "0 whole 1 a b; 1 tell a- b-; 2 whole 3", "a- b-", "leaving"},
            {
                "empty, then right again",
                FIRST,
                "0 whole 1 a b; 1 whole 2; 6 whole 3 a b; 12 whole 4",
                "a b",
                "unconfirmed"
            },
            {"empty, then one missing", FIRST, "0 whole 1 a b c; 1 whole 2; 2 whole 3 a b", "a b c-", "unconfirmed"},
            {
                "a big loss, each drained before",
                FIRST,
                "0 whole 1 a b c d; 1 tell a- b- c-; 2 whole 2 d; 13 at",
                "d",
                "gone"
            },
            {
                "a big loss, confirmed",
                FIRST,
                "0 whole 1 a b c; 1 whole 2 a; 6 whole 2 a; 11 whole 2 a; 22 at",
                "a",
                "confirmed, by n, b: missing from 3 lists"
            },
            {
                "an unsure list loses nothing",
                FIRST,
                "0 whole 1 a b c; 1 unsure 2 a b; 9 unsure 2 a b; 20 unsure 2 a b",
                "a b c",
                "from an answer that is not sure"
            },
            {
                "an older list brings nobody back",
                FIRST,
                "0 whole 5 a b; 1 whole 6 a b-; 2 whole 5 a b c",
                "a b-",
                "older, by n: a list of version 5 after 6"
            },
            {"an older list's drain is believed", FIRST, "0 whole 5 a b; 2 whole 4 a b-", "a b-", "leaving"},
            {
                "an index that went back counts in the end",
                FIRST,
                "0 whole 50 a b; 1 whole 3 a b c; 6 whole 3 a b c; 11 whole 3 a b c",
                "a b c",
                "counts in place of 50"
            },
            {"silence keeps all", FIRST, "0 whole 1 a b; 1 lost; 301 at", "a b", "silent; its 2 servers are kept"},
            {
                "after long silence those that answer",
                FIRST,
                "0 whole 1 a b; 1 lost; 3699 answer a; 3700 at",
                "a b-",
                "silent"
            },
            {"after long silence, nobody asked", FIRST, "0 whole 1 a b; 1 lost; 9999 at", "a b", "silent"},
            {
                "a new id at the same address",
                FIRST,
                "0 whole 1 a b; 1 whole 2 c/a b",
                "b c",
                "gone, a: another server is at its address"
            },
            {"a server that moves", FIRST, "0 whole 1 a b; 1 tell a/x", "a b", "new, by n, a: at h:x"},
            {
                "flapping is held up",
                FIRST,
                "0 whole 1 a b; 1 tell b-; 2 tell b; 3 tell b-; 4 tell b; 5 tell b-;" + "6 tell b",
                "a b-",
                "held up, by n, b"
            },
            {
                "and let go",
                FIRST,
                "0 whole 1 a b; 1 tell b-; 2 tell b; 3 tell b-; 4 tell b; 5 tell b-; 6 tell b;" + "8 at",
                "a b",
                "held up"
            },
            {"doubted, others left", FIRST, "0 whole 1 a b?", "a b-", "not to be asked: sign of b"},
            {
                "doubted, but it answers",
                FIRST,
                "0 whole 1 a b; 1 answer b; 2 tell b?",
                "a b",
                "kept, by n, b: sign of b, but it answers"
            },
            {"all doubted", FIRST, "0 whole 1 a? b?", "a b", "nothing else is left"},
            {
                "the first source goes before",
                FIRST,
                "0 p:whole 1 a b; 1 whole 9 a b c; 2 p:whole 2 a",
                "a b c",
                "n: is believed from now on in place of p"
            },
            {"a first list that is empty", FIRST, "0 p:whole 1 a b; 1 whole 9", "a b", "2 of 2 servers"},
            {"a first list that is short", FIRST, "0 p:whole 1 a b c; 1 whole 9 a", "a b c", "2 of 3 servers"},
            {
                "a restart with the last table only",
                FIRST,
                "0 seed a b c; 1 lost; 2 at; 300 whole 7 a b d",
                "a b c- d",
                "new, by n, d"
            },
            {
                "the next speaks after a silence",
                FIRST,
                "0 p:whole 1 a b c; 1 whole 9 a b; 2 lost; 33 at",
                "a b c",
                "p: is believed from now on in place of n"
            },
            {"union: any lists it, any drains it", union(), "0 whole 1 a b; 1 p:whole 1 b- c", "a b- c", "leaving"},
            {"union: another's name for one place", union(), "0 whole 1 a; 1 p:whole 1 z/a", "a", "new, by n, a"},
        };
    }

    @Test(dataProvider = "cases")
    public void eachCaseHasItsTableAndItsReason(
            String name, MembershipConfig policy, String lines, String table, String why) {
        Script script = new Script(policy);
        for (String line : lines.split(";")) {
            script.line(line);
        }
        assertEquals(script.shown(), table, script.reasons.toString());
        assertTrue(
                script.reasons.stream().anyMatch(reason -> reason.toString().contains(why)), script.reasons.toString());
    }

    /** What is learned of a server's speed is learned by its kind: an entry that is made anew must not lose it. */
    @Test
    public void aServerKeepsItsKindWhateverBecomesOfIt() {
        Membership membership = new Script(FIRST).membership;
        Endpoint entry = new Endpoint("a", 0, 0, EndpointState.READY, 0, 7);
        List<EndpointUpdate.EndpointAddress> rows = new ArrayList<>();
        for (ReportedStatus standing : List.of(ReportedStatus.READY, ReportedStatus.DRAINING, ReportedStatus.READY)) {
            ReportedEndpoint told = new ReportedEndpoint(entry, "h:a", standing, "");
            membership
                    .onUpdate(1_000 * (rows.size() + 1), new SourceUpdate.Changes("n", 0, List.of(told)))
                    .update()
                    .ifPresent(table -> rows.addAll(table.endpoints()));
        }
        assertEquals(rows.size(), 3, rows.toString());
        assertTrue(rows.stream().allMatch(row -> row.endpoint().kind() == 7), rows.toString());
    }

    @Test
    public void aThousandServersAndTenChangesASecondCostLittle() {
        Script script = new Script(FIRST);
        StringBuilder all = new StringBuilder("0 whole 1");
        for (int i = 0; i < 1_000; i++) {
            all.append(" s").append(i);
        }
        script.line(all.toString());
        double bestUs = Double.MAX_VALUE;
        for (int round = 0; round < 20; round++) {
            long begun = System.nanoTime();
            for (int i = 0; i < 50; i++) {
                script.line(2 + round + " tell s" + (round * 50 + i) + "-");
            }
            bestUs = Math.min(bestUs, (System.nanoTime() - begun) / 50e3);
        }
        System.out.println("membership: " + (long) bestUs + " us a change at 1,000 servers");
        assertTrue(bestUs < 10_000, bestUs + " us");
    }
}
