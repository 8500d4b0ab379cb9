package peppergauge.fleet;

import org.testng.annotations.DataProvider;
import peppergauge.fleet.member.MembershipLoad;
import peppergauge.fleet.planning.PlannerLoad;
import peppergauge.fleet.service.MergeWorkerLoad;
import peppergauge.fleet.state.ReportStoreLoad;
import peppergauge.fleet.table.LeasedTableLoad;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;

/** Runs the fleet service under random load with assertions enabled, unchanged and with planted faults. */
public class FleetInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 25;
    private static final String STATE = "state.ReportStoreLoad";
    private static final String MEMBERSHIP = "member.MembershipLoad";
    private static final String TABLES = "table.LeasedTableLoad";
    private static final String PLANNER = "planning.PlannerLoad";
    private static final String MERGE = "service.MergeWorkerLoad";

    public FleetInvariantsTest() {
        super("fleet/", "peppergauge.fleet.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"report store", (Loads.Load) ReportStoreLoad::run, SEEDS},
            {"membership", (Loads.Load) MembershipLoad::run, SEEDS},
            {"tables", (Loads.Load) LeasedTableLoad::run, SEEDS},
            {"merge worker", (Loads.Load) MergeWorkerLoad::run, SEEDS},
            {"planner", (Loads.Load) PlannerLoad::run, 8},
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                STATE,
                "state/ReportStore.java",
                "        bytes -= bytes(stored.report());\n",
                "",
                "stored reports do not match"
            },
            {
                STATE,
                "state/ReportStore.java",
                "        changes.remove(stored.stamp());\n",
                "",
                "expected at most 2 reports of each daemon"
            },
            {
                STATE,
                "state/ReportStore.java",
                "if (incarnations.size() > MAX_INCARNATIONS) {",
                "if (stamp < 0) {",
                "expected at most 2 reports of each daemon"
            },
            {
                STATE,
                "state/ReportStore.java",
                "NEWER.compare(report, stored.report()) <= 0",
                "NEWER.compare(report, stored.report()) == 0",
                "expected the same state"
            },
            {STATE, "state/ReportStore.java", ".thenComparing(DaemonReport::toString)", "", "expected the same state"},
            {
                STATE,
                "state/ReportStore.java",
                "return new Changes(changed, through, true);",
                "return new Changes(changed, stamp, true);",
                "expected the same reports in all instances"
            },
            {
                STATE,
                "state/TrafficTotals.java",
                "return Math.max(0, now - before);",
                "return now - before;",
                "expected totals not to fall"
            },
            {
                STATE,
                "state/TrafficTotals.java",
                "if (totals.containsKey(key) || totals.size() < maxKeys)",
                "if (true)",
                "expected at most 3 traffic keys"
            },
            {
                STATE,
                "state/ReportValidator.java",
                "KeyReportValidator.isCount(counts.answered())",
                "counts.answered() >= 0",
                "expected totals not to fall"
            },
            {
                MEMBERSHIP,
                "member/Member.java",
                "standing.compareTo(other.standing) > 0",
                "standing.compareTo(other.standing) != 0",
                "Member[name="
            },
            {
                MEMBERSHIP,
                "member/Membership.java",
                "member.incarnation() + 1",
                "member.incarnation()",
                "to override Member"
            },
            {
                MEMBERSHIP,
                "member/Membership.java",
                " || member.incarnation() > MAX_INCARNATION",
                "",
                "to override Member"
            },
            {
                MEMBERSHIP,
                "member/Membership.java",
                "} else if (member.standing() == Member.Status.SUSPECT",
                "} else if (member.standing() == Member.Status.LEFT",
                "to override Member"
            },
            {
                TABLES,
                "table/VersionClock.java",
                "<< COUNT_SHIFT | issuer;\n        assert",
                "<< COUNT_SHIFT;\n        assert",
                "from issuer 1"
            },
            {TABLES, "table/VersionClock.java", "        highest = reserved;\n", "", "version "},
            {
                TABLES,
                "table/VersionClock.java",
                "version + (MIN_RESERVATION_MS << TIME_SHIFT)",
                "version - 1",
                "expected a reservation of at least"
            },
            {
                TABLES,
                "table/TableIssuer.java",
                "ZoneWeightMath.stepTowards(from, target, maxStep)",
                "target",
                "expected a step of at most"
            },
            {
                TABLES,
                "table/LeasedTable.java",
                "offered.version() <= newestVersion",
                "offered.version() == newestVersion",
                "expected a version above"
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
                "in effect after its lease"
            },
            {
                TABLES,
                "table/LeasedTable.java",
                " && table.issuedMs() - nowMs <= limits.clockSkewMs()",
                "",
                "expected neutral weights after the lease"
            },
            {
                TABLES,
                "table/ZoneWeightMath.java",
                "zones.put(zone, Math.max(ZoneWeights.MIN_WEIGHT, value));",
                "zones.put(zone, Math.max(ZoneWeights.MIN_WEIGHT, value / 2));",
                "expected a step of at most"
            },
            {
                MERGE,
                "service/MergeWorker.java",
                "return reportStore.bytes() < settings.limits().maxBytes()\n" + "                &&",
                "return",
                " in the store, got"
            },
            {
                MERGE,
                "service/MergeWorker.java",
                "reportStore.size() < settings.limits().maxDaemons()",
                "reportStore.size() >= 0",
                " in the store, got"
            },
            {
                MERGE,
                "service/MergeWorker.java",
                "new TrafficTotals(settings.sizes().maxTrafficKeys(), before.totalsByKey())",
                "new TrafficTotals(settings.sizes().maxTrafficKeys())",
                "Total.answered()"
            },
            {
                PLANNER,
                "planning/ForecastScorer.java",
                "if (latestTwo.size() > 2) {",
                "if (latestTwo.size() > 3) {",
                "expected at most 2 forecasts of a query"
            },
            {
                PLANNER,
                "planning/EndpointListTracker.java",
                "own.keySet().forEach(id",
                "each.servers().stream().map(Server::id).forEach(id",
                "expected a majority of daemons"
            },
            {
                PLANNER,
                "planning/HitRateForecasts.java",
                "        answers.keySet().retainAll(queries.stream().map(ChangeQuery::text).toList());\n",
                "",
                "expected answers for present zones only"
            },
        };
    }
}
