package peppergauge.promises.file;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;
import peppergauge.promises.ServiceLevelObjective;

/** The section {@code [[promise]]}: service level objectives of tenants. */
public final class ObjectiveSection implements Section {

    private static final Key<String> TENANT =
            Key.required("station", Types.text(1, 80), "\"station\"", "The station, as its sessions name it.");
    private static final Key<String> REQUEST_CLASS =
            Key.required("class", Types.text(1, 80), "\"list\"", "The class of its sessions; one promise for each.");
    private static final Key<Double> TARGET_SHARE = Key.required(
            "share",
            Types.number(0.5, 0.9999),
            "0.95",
            "Share of these sessions that are answered in time; denied and failed ones are not.");
    private static final Key<Duration> LATENCY = Key.required(
            "within",
            Types.duration(Duration.ofMillis(1), Duration.ofMinutes(10)),
            "\"500 ms\"",
            "In time: from arrival at the sidecar to the last byte of the answer.");
    private static final Key<List<Duration>> WINDOWS = Key.preset(
            "windows",
            Types.listOf(Types.duration(Duration.ofSeconds(6), Duration.ofHours(24)), 1, 3),
            "[\"10 min\", \"1 h\"]",
            "Spans in each of which the share is to be kept, shortest first.");
    private static final Key<Double> PENALTY = Key.preset(
            "penalty",
            Types.number(0.000001, 1_000_000_000),
            "1",
            "What a missed window costs, against that of other promises.");
    private static final Key<List<String>> ZONES = Key.preset(
            "zones",
            Types.listOf(Types.text(1, 80), 0, 64),
            "[]",
            "Data centres that the station may use; empty for all.");

    public static final Table TABLE = Table.repeated(
            "promise",
            0,
            1_000,
            "A promise to a station. Without any, no station is steered.",
            TENANT,
            REQUEST_CLASS,
            TARGET_SHARE,
            LATENCY,
            WINDOWS,
            PENALTY,
            ZONES);

    @Override
    public Table table() {
        return TABLE;
    }

    /** Reports contradictions between two objectives at both places, since either may be the wrong one. */
    @Override
    public void check(Values file, Problems problems) {
        Map<String, Values> first = new HashMap<>();
        Map<String, Set<String>> shared = new HashMap<>();
        for (Values section : file.all(TABLE)) {
            String tenant = section.get(TENANT);
            String name = tenant + " / " + section.get(REQUEST_CLASS);
            Values before = first.putIfAbsent(name, section);
            if (before != null) {
                problems.add(
                        section.place(REQUEST_CLASS),
                        "promise.class",
                        "contradicts the promise at " + before.place() + ": " + name + " may have only one");
            }
            checkAscending(section, problems);
            Set<String> zones = new HashSet<>(section.get(ZONES));
            Set<String> common = shared.get(tenant);
            if (!zones.isEmpty()) {
                Set<String> both = new HashSet<>(common == null ? zones : common);
                both.retainAll(zones);
                if (both.isEmpty()) {
                    problems.add(
                            section.place(ZONES),
                            "promise.zones",
                            "contradicts another promise of " + tenant
                                    + ": no data centre is left that all of them allow, and a "
                                    + "station is steered as a whole");
                }
                shared.put(tenant, both);
            }
        }
    }

    private static void checkAscending(Values section, Problems problems) {
        List<Duration> windows = section.get(WINDOWS);
        for (int i = 1; i < windows.size(); i++) {
            if (windows.get(i).compareTo(windows.get(i - 1)) <= 0) {
                problems.add(section.place(WINDOWS), "promise.windows", "must be in ascending order, shortest first");
            }
        }
    }

    /**
     * Returns the objectives of a file.
     *
     * @param file one that was read without problems
     */
    public static List<ServiceLevelObjective> objectives(Values file) {
        return file.all(TABLE).stream()
                .map(section -> new ServiceLevelObjective(
                        section.get(TENANT),
                        section.get(REQUEST_CLASS),
                        section.get(TARGET_SHARE),
                        section.get(LATENCY).toNanos() / 1e6,
                        section.get(WINDOWS).stream().map(Duration::toMillis).toList(),
                        section.get(PENALTY),
                        section.get(ZONES)))
                .toList();
    }

    /** Returns the TOML table that reads back as this objective. */
    public static String toToml(ServiceLevelObjective objective) {
        String windows =
                objective.windowsMs().stream().map(ms -> "\"" + ms + " ms\"").collect(Collectors.joining(", "));
        return "[[promise]]\nstation = " + quoted(objective.tenant()) + "\nclass = " + quoted(objective.requestClass())
                + "\nshare = " + plain(objective.targetShare())
                + "\nwithin = \"" + plain(objective.latencyMs()) + " ms\"\nwindows = ["
                + windows + "]\npenalty = " + plain(objective.penalty()) + "\nzones = ["
                + objective.zones().stream().map(ObjectiveSection::quoted).collect(Collectors.joining(", ")) + "]\n\n";
    }

    private static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private static String plain(double number) {
        return BigDecimal.valueOf(number).toPlainString();
    }
}
