package peppergauge.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.request.EndpointUpdate.EndpointAddress;

public class EndpointTableTest {

    private final MembershipConfig config = MembershipConfig.defaults(List.of("n"));
    private final EndpointTable table = new EndpointTable(config, new FlapDetector(config));

    private static Candidate candidate(String word) {
        ReportedEndpoint reported = MembershipScript.reported(word);
        return new Candidate(reported, "n", reported.status());
    }

    private EndpointTable.Edit edit(double nowMs) {
        return table.edit(nowMs, new DecisionReasons());
    }

    private static EndpointState stateOf(EndpointTable.Edit edit) {
        return edit.commit().orElseThrow().endpoints().get(0).endpoint().state();
    }

    @Test
    public void drainsUnlistedServerThenRemovesItAfterDelay() {
        EndpointTable.Edit edit = edit(0);
        edit.list(candidate("a"), true);
        assertEquals(stateOf(edit), EndpointState.READY);
        assertTrue(table.isReady("h:a"));
        EndpointTable.Entry entry = table.entries().get(0);
        edit = edit(1_000);
        edit.depart(entry);
        assertEquals(stateOf(edit), EndpointState.DRAINING);
        edit = edit(10_999);
        edit.depart(entry);
        assertTrue(edit.commit().isEmpty());
        edit = edit(11_000);
        edit.depart(entry);
        assertEquals(stateOf(edit), EndpointState.REMOVED);
        assertTrue(table.entries().isEmpty() && table.isConsistent());
    }

    @Test
    public void listsMovedServerOnce() {
        EndpointTable.Edit edit = edit(0);
        edit.list(candidate("a"), true);
        edit.list(candidate("a/x"), true);
        assertFalse(table.isReady("h:a"));
        assertTrue(table.isReady("h:x") && table.isConsistent());
        assertEquals(edit.commit().orElseThrow().endpoints().size(), 1);
    }

    @Test
    public void listsReinstatedServerAsReady() {
        table.seed(List.of(new EndpointAddress(MembershipScript.reported("a").endpoint(), "h:a")));
        EndpointTable.Entry entry = table.entries().get(0);
        edit(0).depart(entry);
        assertTrue(table.listed().isEmpty());
        EndpointTable.Edit edit = edit(1);
        edit.reinstate(entry);
        assertEquals(stateOf(edit), EndpointState.READY);
        assertEquals(table.listed().size(), 1);
    }
}
