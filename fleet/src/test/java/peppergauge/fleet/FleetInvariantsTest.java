package peppergauge.fleet;

import org.testng.annotations.DataProvider;
import peppergauge.fleet.member.MembersLoad;
import peppergauge.fleet.planning.PlanLoad;
import peppergauge.fleet.service.MergeWorkerLoad;
import peppergauge.fleet.state.ReportStoreLoad;
import peppergauge.fleet.table.LeasedTableLoad;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;

/** What the fleet service decides under random load, with assertions on, and with faults planted in its sources. */
public class FleetInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 25;
    private static final String STATE = "state.ReportStoreLoad";
    private static final String MEMBERS = "member.MembersLoad";
    private static final String TABLES = "table.LeasedTableLoad";
    private static final String PLAN = "planning.PlanLoad";
    private static final String MERGING = "service.MergeWorkerLoad";

    public FleetInvariantsTest() {
        super("fleet/", "peppergauge.fleet.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"fleet's state", (Loads.Load) ReportStoreLoad::run, SEEDS},
            {"members", (Loads.Load) MembersLoad::run, SEEDS},
            {"tables", (Loads.Load) LeasedTableLoad::run, SEEDS},
            {"merge", (Loads.Load) MergeWorkerLoad::run, SEEDS},
            {"plans", (Loads.Load) PlanLoad::run, 8},
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {STATE, "state/ReportStore.java", "        bytes -= bytes(stored.report());\n", "", "does not add up"},
            {STATE, "state/ReportStore.java", "        changes.remove(stored.stamp());\n", "", "more accounts"},
            {
                STATE,
                "state/ReportStore.java",
                "if (incarnations.size() > MAX_INCARNATIONS) {",
                "if (stamp < 0) {",
                "more accounts"
            },
            {
                STATE,
                "state/ReportStore.java",
                "NEWER.compare(report, stored.report()) <= 0",
                "NEWER.compare(report, stored.report()) == 0",
                "another state"
            },
            {STATE, "state/ReportStore.java", ".thenComparing(DaemonReport::toString)", "", "another state"},
            {
                STATE,
                "state/ReportStore.java",
                "return new Changes(changed, through, true);",
                "return new Changes(changed, stamp, true);",
                "unlike accounts"
            },
            {
                STATE,
                "state/TrafficTotals.java",
                "return Math.max(0, now - before);",
                "return now - before;",
                "totals fall"
            },
            {
                STATE,
                "state/TrafficTotals.java",
                "if (totals.containsKey(key) || totals.size() < maxKeys)",
                "if (true)",
                "cells without bound"
            },
            {
                STATE,
                "state/ReportValidator.java",
                "KeyReportValidator.isCount(counts.answered())",
                "counts.answered() >= 0",
                "totals fall"
            },
            {
                MEMBERS,
                "member/Member.java",
                "standing.compareTo(other.standing) > 0",
                "standing.compareTo(other.standing) != 0",
                "Member[name="
            },
            {MEMBERS, "member/Membership.java", "member.incarnation() + 1", "member.incarnation()", "after Member"},
            {MEMBERS, "member/Membership.java", " || member.incarnation() > MAX_INCARNATION", "", "after Member"},
            {
                MEMBERS,
                "member/Membership.java",
                "} else if (member.standing() == Member.Status.SUSPECT",
                "} else if (member.standing() == Member.Status.LEFT",
                "after Member"
            },
            {
                TABLES,
                "table/VersionClock.java",
                "<< COUNT_SHIFT | issuer;\n        assert",
                "<< COUNT_SHIFT;\n        assert",
                "of 1"
            },
            {TABLES, "table/VersionClock.java", "        highest = reserved;\n", "", "version "},
            {
                TABLES,
                "table/VersionClock.java",
                "version + (MIN_RESERVATION_MS << TIME_SHIFT)",
                "version - 1",
                "is handed out under"
            },
            {
                TABLES,
                "table/TableIssuer.java",
                "ZoneWeightMath.stepTowards(from, target, maxStep)",
                "target",
                "a step of"
            },
            {
                TABLES,
                "table/LeasedTable.java",
                "offered.version() <= newestVersion",
                "offered.version() == newestVersion",
                "back from version"
            },
            {
                TABLES,
                "table/LeasedTable.java",
                "leaseWeight(nowMs)), limits.maxStep())",
                "leaseWeight(nowMs)), 2 * limits.maxStep())",
                " to ZoneWeights"
            },
            {
                TABLES,
                "table/LeasedTable.java",
                "        if (!isValid(nowMs)) {",
                "        if (table == null) {",
                "in force after its lease"
            },
            {
                TABLES,
                "table/LeasedTable.java",
                " && table.issuedMs() - nowMs <= limits.clockSkewMs()",
                "",
                "it leans after the lease"
            },
            {
                TABLES,
                "table/ZoneWeightMath.java",
                "zones.put(zone, Math.max(ZoneWeights.MIN_WEIGHT, value));",
                "zones.put(zone, Math.max(ZoneWeights.MIN_WEIGHT, value / 2));",
                "a step of"
            },
            {
                MERGING,
                "service/MergeWorker.java",
                "return reportStore.bytes() < settings.limits().maxBytes()\n" + "                &&",
                "return",
                "are held"
            },
            {
                MERGING,
                "service/MergeWorker.java",
                "reportStore.size() < settings.limits().maxDaemons()",
                "reportStore.size() >= 0",
                "are held"
            },
            {
                MERGING,
                "service/MergeWorker.java",
                "new TrafficTotals(settings.sizes().maxKeys(), before.totalsByKey())",
                "new TrafficTotals(settings.sizes().maxKeys())",
                "Total.answered()"
            },
            {PLAN, "planning/ForecastScorer.java", "if (both.size() > 2) {", "if (both.size() > 3) {", "answers stand"},
            {
                PLAN,
                "planning/EndpointListTracker.java",
                "own.keySet().forEach(id",
                "each.servers().stream().map(Server::id).forEach(id",
                "few list all of"
            },
            {
                PLAN,
                "planning/HitRateForecasts.java",
                "        answers.keySet().retainAll(queries.stream().map(ChangeQuery::text).toList());\n",
                "",
                "is answered, of"
            },
        };
    }
}
