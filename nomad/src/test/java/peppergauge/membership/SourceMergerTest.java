package peppergauge.membership;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import peppergauge.membership.MembershipConfig.SourceMode;

public class SourceMergerTest {

    private static final MembershipConfig FIRST = MembershipConfig.defaults(List.of("n", "p"));
    private static final MembershipConfig UNION = new MembershipConfig(
            FIRST.sources(), SourceMode.UNION, 0.5, 3, 10_000, 30_000, 60_000, 5_000, 3, 60_000, 2_000, 30_000, 10_000);

    private final RecentResponses responses = new RecentResponses(5_000);

    private static SourceState source(String name, MembershipConfig config, String words) {
        SourceState source = new SourceState(name, config);
        List<ReportedEndpoint> servers =
                Arrays.stream(words.split(" ")).map(MembershipScript::reported).toList();
        source.onCompleteList(
                0, new SourceUpdate.CompleteList(name, 1, true, servers), List.of(), new DecisionReasons());
        return source;
    }

    private Map<String, Candidate> merge(MembershipConfig config, double nowMs, SourceState... sources) {
        return new SourceMerger(config, List.of(sources), responses).merge(nowMs, new DecisionReasons());
    }

    @Test
    public void usesFirstSourceAloneUntilItIsSilentForFailoverTime() {
        SourceState first = source("n", FIRST, "a");
        SourceState second = source("p", FIRST, "b");
        assertEquals(List.copyOf(merge(FIRST, 0, first, second).keySet()), List.of("h:a"), "first source responds");
        first.onLost(1_000, new DecisionReasons());
        assertEquals(
                List.copyOf(merge(FIRST, 30_999, first, second).keySet()),
                List.of("h:a"),
                "first source is silent for less than the failover time");
        assertEquals(
                List.copyOf(merge(FIRST, 31_000, first, second).keySet()),
                List.of("h:b"),
                "first source is silent for the failover time");
    }

    @Test
    public void unionUsesWorstStatusOfSharedServer() {
        Map<String, Candidate> merged = merge(UNION, 0, source("n", UNION, "a b"), source("p", UNION, "b- c"));
        assertEquals(List.copyOf(merged.keySet()), List.of("h:a", "h:b", "h:c"));
        assertEquals(merged.get("h:b").status(), ReportedStatus.DRAINING);
        assertEquals(merged.get("h:b").source(), "n");
    }

    @Test
    public void dropsServersWithoutResponseOfSourceSilentPastRetention() {
        SourceState silent = source("n", UNION, "a b");
        silent.onLost(0, new DecisionReasons());
        assertEquals(merge(UNION, 60_001, silent).size(), 2, "all servers stay while none responds");
        responses.onResponse("h:b", 60_000);
        assertEquals(List.copyOf(merge(UNION, 60_001, silent).keySet()), List.of("h:b"));
    }
}
