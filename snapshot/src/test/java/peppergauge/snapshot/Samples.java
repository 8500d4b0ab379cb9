package peppergauge.snapshot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.decision.Learned;
import peppergauge.decision.Learned.Figure;
import peppergauge.decision.Learned.Fleet;
import peppergauge.decision.Learned.Kind;
import peppergauge.decision.Learned.Known;
import peppergauge.snapshot.format.Snapshot;

/** Snapshots for tests; their figures are those that a float holds. */
public final class Samples {

    public static final String SETTINGS = "ab".repeat(32);

    private Samples() {}

    public static Fleet fleet() {
        Figure figure = new Figure(320, 16);
        return new Fleet(
                60_000,
                figure,
                figure,
                new Figure(1, 16),
                figure,
                figure,
                figure,
                figure,
                figure,
                new Figure(-3.5, 2),
                figure,
                new Figure(0, 64),
                0.5,
                20);
    }

    public static Known known(String server, double startedMs, double failed) {
        return new Known(
                server,
                startedMs,
                new Figure(160, 8),
                new Figure(8 * failed, 8),
                Figure.NONE,
                new Figure(0, 1),
                Double.POSITIVE_INFINITY,
                0);
    }

    public static Snapshot snapshot(String name, long wallMs, int servers) {
        List<Known> known = new ArrayList<>();
        Map<String, String> addresses = new HashMap<>();
        for (int i = 0; i < servers; i++) {
            known.add(known("s" + i, 1_700_000_000_123.25, 0.5));
            addresses.put("s" + i, "10.0.0.1:" + i);
        }
        Figure figure = new Figure(100, 4);
        return new Snapshot(
                "1.2",
                name,
                SETTINGS,
                wallMs,
                new Learned(servers, fleet(), List.of(new Kind(figure, figure, 1.25)), known),
                addresses);
    }
}
