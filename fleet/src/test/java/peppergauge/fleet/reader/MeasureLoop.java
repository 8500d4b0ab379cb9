package peppergauge.fleet.reader;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import peppergauge.fleet.state.Latencies;
import peppergauge.settings.SiteNames;

/** By hand: what counting costs the loop, a session and a report; of 96 cells. */
public final class MeasureLoop {

    private MeasureLoop() { }

    private static List<String> names(String stem, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(stem + i);
        }
        return names;
    }

    public static void main(String[] args) {
        Witness witness = new Witness(new SiteNames(names("class", 4), names("station", 8), names("zone", 3)));
        witness.listed(true, Map.of("s0", 0, "s1", 1, "s2", 2));
        Random random = new Random(1);
        String[] ids = names("id-", 1_000).toArray(String[]::new);
        for (int round = 0; round < 5; round++) {
            int sessions = 2_000_000;
            long start = System.nanoTime();
            for (int i = 0; i < sessions; i++) {
                String id = ids[i % 1_000];
                witness.sent(id, "s" + i % 3);
                witness.ended(id, random.nextInt(8), i % 4, Witness.Ending.ANSWERED, random.nextInt(400));
            }
            long counted = System.nanoTime();
            List<Witness.Cells> copy = List.of();
            for (int i = 0; i < 100; i++) {
                copy = witness.copy();
            }
            long copied = System.nanoTime();
            long bytes = 0;
            for (int i = 0; i < 20; i++) {
                bytes = copy.stream().mapToLong(each -> Latencies.encode(each.latency()).length()).sum();
            }
            System.out.printf(Locale.ROOT, "%d cells: %.0f ns a session on the loop, %.3f ms a report on the loop, "
                    + "%.2f ms and %d KiB to encode beside it%n", copy.size(), (counted - start) / (double) sessions,
                    (copied - counted) / 1e8, (System.nanoTime() - copied) / 2e7, bytes / 1024);
        }
    }
}
