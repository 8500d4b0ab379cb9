package peppergauge.snapshot;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;
import peppergauge.snapshot.format.UnusableSnapshot;
import peppergauge.snapshot.storage.PosixFileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/** A snapshot's file, for people. */
public final class SnapshotFile {

    /** More than any file that a sidecar writes. */
    private static final long MOST_BYTES = 1 << 28;

    private SnapshotFile() {}

    /**
     * One line on a whole file.
     *
     * @throws IOException with the reason for the people on call, if it cannot be read or is no whole snapshot
     */
    public static String verify(Path file) throws IOException {
        Snapshot snapshot = read(file);
        return "a whole snapshot of sidecar " + snapshot.name() + ", learned at "
                + Instant.ofEpochMilli(snapshot.wallMs()) + ", "
                + snapshot.learned().servers().size() + " servers";
    }

    /** All that stands in it, a line each; throws as {@link #verify}. */
    public static List<String> show(Path file) throws IOException {
        Snapshot snapshot = read(file);
        LearnedState learned = snapshot.learned();
        List<String> lines = new ArrayList<>();
        lines.add("sidecar    " + snapshot.name());
        lines.add("learned    " + Instant.ofEpochMilli(snapshot.wallMs()));
        lines.add("written by " + snapshot.writer());
        lines.add("settings   " + snapshot.settings());
        lines.add(String.format(
                Locale.ROOT,
                "fleet      latency %s ms, unloaded %s ms, crowding %.2f, errors %s",
                mean(learned.cluster().latency()),
                known(learned.cluster().unloadedMs()),
                learned.cluster().queueingSlope(),
                mean(learned.cluster().errors())));
        for (int i = 0; i < learned.classes().size(); i++) {
            lines.add(String.format(
                    Locale.ROOT,
                    "class %-4d latency %s ms, factor %.2f",
                    i,
                    mean(learned.classes().get(i).latency()),
                    learned.classes().get(i).factor()));
        }
        learned.servers().stream()
                .sorted(Comparator.comparing(ServerStatistics::server))
                .forEach(known -> lines.add(String.format(
                        Locale.ROOT,
                        "server %s at %s, started %s: outcomes %.1f, failed %s, latency %s ms, unloaded %s ms%s",
                        known.server(),
                        snapshot.addresses().get(known.server()),
                        known.startedMs() > 0 ? Instant.ofEpochMilli((long) known.startedMs()) : "unknown",
                        known.failures().weight() + known.errors().weight(),
                        failed(known),
                        mean(known.latency()),
                        known(known.unloadedMs()),
                        known.ejectionLeftMs() > 0
                                ? String.format(Locale.ROOT, ", rests for %.0f ms", known.ejectionLeftMs())
                                : "")));
        return lines;
    }

    private static String known(double ms) {
        return ms < Double.POSITIVE_INFINITY ? String.format(Locale.ROOT, "%.1f", ms) : "unknown";
    }

    private static String failed(ServerStatistics known) {
        return mean(new WeightedSum(
                known.failures().sum() + known.errors().sum(),
                known.failures().weight() + known.errors().weight()));
    }

    private static String mean(WeightedSum figure) {
        return figure.weight() > 0 ? String.format(Locale.ROOT, "%.3g", figure.sum() / figure.weight()) : "unknown";
    }

    private static Snapshot read(Path file) throws IOException {
        try {
            return SnapshotFormat.decode(new PosixFileSystem().read(file, MOST_BYTES));
        } catch (NoSuchFileException none) {
            throw new IOException("there is no such file", none);
        } catch (UnusableSnapshot unusable) {
            throw new IOException(unusable.getMessage(), unusable);
        } catch (IOException unreadable) {
            throw new IOException(SnapshotFiles.reason(unreadable), unreadable);
        }
    }
}
