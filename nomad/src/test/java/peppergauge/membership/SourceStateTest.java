package peppergauge.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SourceStateTest {

    private final DecisionReasons reasons = new DecisionReasons();
    private SourceState source;

    @BeforeMethod
    public void start() {
        source = new SourceState("n", MembershipConfig.defaults(List.of("n")));
    }

    private boolean list(double nowMs, long version, String... words) {
        List<ReportedEndpoint> servers =
                Arrays.stream(words).map(MembershipScript::reported).toList();
        return source.onCompleteList(
                nowMs, new SourceUpdate.CompleteList("n", version, true, servers), List.of(), reasons);
    }

    private List<String> servers() {
        return source.servers().stream().map(ReportedEndpoint::server).toList();
    }

    @Test
    public void acceptsLargeLossOnlyWhenConfirmed() {
        assertTrue(list(0, 1, "a", "b", "c"));
        list(1_000, 2, "a");
        assertTrue(source.isConfirmationPending());
        list(6_000, 2, "a");
        assertEquals(servers(), List.of("a", "b", "c"));
        list(11_000, 2, "a");
        assertEquals(servers(), List.of("a"));
        assertFalse(source.isConfirmationPending());
    }

    @Test
    public void acceptsOnlyDrainingServersOfOlderList() {
        list(0, 5, "a", "b");
        assertFalse(list(1_000, 4, "a-", "c"));
        assertEquals(servers(), List.of("a", "b"));
        assertTrue(source.servers().stream().anyMatch(each -> each.status() == ReportedStatus.DRAINING));
        assertTrue(source.isConfirmationPending());
    }

    @Test
    public void missingDrainingServerHasDeparted() {
        list(0, 1, "a", "b-");
        assertFalse(source.hasDeparted("b"));
        list(1_000, 2, "a");
        assertEquals(servers(), List.of("a"));
        assertTrue(source.hasDeparted("b"));
    }

    @Test
    public void measuresSilenceUntilSourceResponds() {
        assertTrue(source.silentForMs(0) < 0);
        source.onLost(1_000, reasons);
        source.onLost(2_000, reasons);
        assertEquals(source.silentForMs(4_000), 3_000.0);
        source.onAlive(5_000, reasons);
        assertTrue(source.silentForMs(6_000) < 0);
    }
}
