package peppergauge.fleet;

import org.testng.annotations.DataProvider;
import peppergauge.fleet.member.MembersLoad;
import peppergauge.fleet.plan.PlanLoad;
import peppergauge.fleet.service.MergingLoad;
import peppergauge.fleet.state.StateLoad;
import peppergauge.fleet.table.TablesLoad;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;

/** What the fleet service decides under random load, with assertions on, and with faults planted in its sources. */
public class FleetInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 25;
    private static final String STATE = "state.StateLoad";
    private static final String MEMBERS = "member.MembersLoad";
    private static final String TABLES = "table.TablesLoad";
    private static final String PLAN = "plan.PlanLoad";
    private static final String MERGING = "service.MergingLoad";

    public FleetInvariantsTest() {
        super("fleet/", "peppergauge.fleet.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"fleet's state", (Loads.Load) StateLoad::run, SEEDS}, {"members", (Loads.Load) MembersLoad::run, SEEDS},
            {"tables", (Loads.Load) TablesLoad::run, SEEDS}, {"merge", (Loads.Load) MergingLoad::run, SEEDS},
            {"plans", (Loads.Load) PlanLoad::run, 8},
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {STATE, "state/FleetState.java", "        bytes -= bytes(held.report());\n", "", "does not add up"},
            {STATE, "state/FleetState.java", "        changes.remove(held.stamp());\n", "", "more accounts"},
            {
                STATE,
                "state/FleetState.java",
                "if (incarnations.size() > INCARNATIONS) {",
                "if (stamp < 0) {",
                "more accounts"
            },
            {
                STATE,
                "state/FleetState.java",
                "NEWER.compare(report, held.report()) <= 0",
                "NEWER.compare(report, held.report()) == 0",
                "another state"
            },
            {STATE, "state/FleetState.java", ".thenComparing(DaemonReport::toString)", "", "another state"},
            {
                STATE,
                "state/FleetState.java",
                "return new Changes(changed, through, true);",
                "return new Changes(changed, stamp, true);",
                "unlike accounts"
            },
            {STATE, "state/Tally.java", "return Math.max(0, now - before);", "return now - before;", "totals fall"},
            {
                STATE,
                "state/Tally.java",
                "if (totals.containsKey(cell) || totals.size() < mostCells)",
                "if (true)",
                "cells without bound"
            },
            {STATE, "state/Intake.java", "KeyChecks.counted(counts.answered())", "counts.answered() >= 0", "totals fall"
            },
            {
                MEMBERS,
                "member/Member.java",
                "standing.compareTo(other.standing) > 0",
                "standing.compareTo(other.standing) != 0",
                "Member[name="
            },
            {MEMBERS, "member/Membership.java", "member.incarnation() + 1", "member.incarnation()", "after Member"},
            {MEMBERS, "member/Membership.java", " || member.incarnation() > MOST_INCARNATION", "", "after Member"},
            {
                MEMBERS,
                "member/Membership.java",
                "} else if (member.standing() == Member.Standing.SUSPECT",
                "} else if (member.standing() == Member.Standing.LEFT",
                "after Member"
            },
            {
                TABLES,
                "table/Versions.java",
                "<< COUNT_SHIFT | issuer;\n        assert",
                "<< COUNT_SHIFT;\n        assert",
                "of 1"
            },
            {TABLES, "table/Versions.java", "        highest = reserved;\n", "", "version "},
            {TABLES, "table/Versions.java", "version + (AHEAD_MS << TIME_SHIFT)", "version - 1", "is handed out under"},
            {TABLES, "table/Publishing.java", "Factors.towards(from, wanted, step)", "wanted", "a step of"},
            {
                TABLES,
                "table/TableReader.java",
                "offered.version() <= newest",
                "offered.version() == newest",
                "back from version"
            },
            {
                TABLES,
                "table/TableReader.java",
                "weight(nowMs)), bounds.step())",
                "weight(nowMs)), 2 * bounds.step())",
                " to ZoneWeights"
            },
            {
                TABLES,
                "table/TableReader.java",
                "        if (!valid(nowMs)) {",
                "        if (table == null) {",
                "in force after its lease"
            },
            {
                TABLES,
                "table/TableReader.java",
                " && table.issuedMs() - nowMs <= bounds.futureMs()",
                "",
                "it leans after the lease"
            },
            {
                TABLES,
                "table/Factors.java",
                "zones.put(zone, Math.max(ZoneWeights.MIN_WEIGHT, value));",
                "zones.put(zone, Math.max(ZoneWeights.MIN_WEIGHT, value / 2));",
                "a step of"
            },
            {
                MERGING,
                "service/Merging.java",
                "return state.bytes() < settings.limits().bytes()\n                &&",
                "return",
                "are held"
            },
            {
                MERGING,
                "service/Merging.java",
                "state.size() < settings.limits().daemons()",
                "state.size() >= 0",
                "are held"
            },
            {
                MERGING,
                "service/Merging.java",
                "new Tally(settings.sizes().cells(), before.tally())",
                "new Tally(settings.sizes().cells())",
                "Total.answered()"
            },
            {PLAN, "plan/Scores.java", "if (both.size() > 2) {", "if (both.size() > 3) {", "answers stand"},
            {
                PLAN,
                "plan/TableWatch.java",
                "own.keySet().forEach(id",
                "each.table().stream().map(Server::id).forEach(id",
                "few list all of"
            },
            {
                PLAN,
                "plan/KeyForecasts.java",
                "        given.keySet().retainAll(questions.stream().map(Question::text).toList());\n",
                "",
                "is answered, of"
            },
        };
    }
}
