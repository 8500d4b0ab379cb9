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
import peppergauge.snapshot.format.UnusableSnapshotException;
import peppergauge.snapshot.storage.PosixFileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/** Prints and verifies a snapshot file for operators. */
public final class SnapshotPrinter {

    /** Larger than any file that a sidecar writes. */
    private static final long MAX_FILE_BYTES = 1 << 28;

    private SnapshotPrinter() {}

    /**
     * Verifies a file and describes it in one line.
     *
     * @throws IOException with the reason, if the file cannot be read or is no valid snapshot
     */
    public static String verify(Path file) throws IOException {
        Snapshot snapshot = read(file);
        return "valid snapshot of sidecar " + snapshot.name() + ", learned at "
                + Instant.ofEpochMilli(snapshot.wallMs()) + ", "
                + snapshot.state().servers().size() + " servers";
    }

    /**
     * Formats the whole content, with one line for each server and request class.
     *
     * @throws IOException with the reason, if the file cannot be read or is no valid snapshot
     */
    public static List<String> show(Path file) throws IOException {
        Snapshot snapshot = read(file);
        LearnedState state = snapshot.state();
        List<String> lines = new ArrayList<>();
        lines.add("sidecar    " + snapshot.name());
        lines.add("learned    " + Instant.ofEpochMilli(snapshot.wallMs()));
        lines.add("written by " + snapshot.writer());
        lines.add("settings   " + snapshot.settingsDigest());
        lines.add(String.format(
                Locale.ROOT,
                "fleet      latency %s ms, unloaded %s ms, queueing slope %.2f, errors %s",
                formatMean(state.cluster().latency()),
                formatMs(state.cluster().unloadedMs()),
                state.cluster().queueingSlope(),
                formatMean(state.cluster().errors())));
        for (int i = 0; i < state.classes().size(); i++) {
            lines.add(String.format(
                    Locale.ROOT,
                    "class %-4d latency %s ms, factor %.2f",
                    i,
                    formatMean(state.classes().get(i).latency()),
                    state.classes().get(i).factor()));
        }
        state.servers().stream()
                .sorted(Comparator.comparing(ServerStatistics::server))
                .forEach(server -> lines.add(String.format(
                        Locale.ROOT,
                        "server %s at %s, started %s: outcomes %.1f, failed %s, latency %s ms, unloaded %s ms%s",
                        server.server(),
                        snapshot.addresses().get(server.server()),
                        server.startedMs() > 0 ? Instant.ofEpochMilli((long) server.startedMs()) : "unknown",
                        server.failures().weight() + server.errors().weight(),
                        failureShare(server),
                        formatMean(server.latency()),
                        formatMs(server.unloadedMs()),
                        server.ejectionLeftMs() > 0
                                ? String.format(Locale.ROOT, ", ejected for another %.0f ms", server.ejectionLeftMs())
                                : "")));
        return lines;
    }

    private static String formatMs(double ms) {
        return ms < Double.POSITIVE_INFINITY ? String.format(Locale.ROOT, "%.1f", ms) : "unknown";
    }

    private static String failureShare(ServerStatistics server) {
        return formatMean(new WeightedSum(
                server.failures().sum() + server.errors().sum(),
                server.failures().weight() + server.errors().weight()));
    }

    private static String formatMean(WeightedSum sum) {
        return sum.weight() > 0 ? String.format(Locale.ROOT, "%.3g", sum.sum() / sum.weight()) : "unknown";
    }

    private static Snapshot read(Path file) throws IOException {
        try {
            return SnapshotFormat.decode(new PosixFileSystem().read(file, MAX_FILE_BYTES));
        } catch (NoSuchFileException none) {
            throw new IOException("there is no such file", none);
        } catch (UnusableSnapshotException unusable) {
            throw new IOException(unusable.getMessage(), unusable);
        } catch (IOException unreadable) {
            throw new IOException(SnapshotFiles.describe(unreadable), unreadable);
        }
    }
}
