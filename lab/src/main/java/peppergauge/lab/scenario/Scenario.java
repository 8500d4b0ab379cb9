package peppergauge.lab.scenario;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Type;
import peppergauge.operator.Types;
import peppergauge.operator.Values;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.file.ObjectiveSection;

/**
 * A whole scenario file. Immutable; two files that mean the same are equal.
 *
 * @param servers kinds of backend servers, at least one
 * @param classes of requests, at least one
 * @param tenants none or more
 * @param entries what happens, in the order of the file
 * @param contracts what stations are promised, none or more
 */
public record Scenario(
        Run run,
        Network network,
        List<ServerKind> servers,
        List<RequestKind> classes,
        List<Tenant> tenants,
        Clients clients,
        Sidecars sidecars,
        Discovery discovery,
        Rules rules,
        List<Entry> entries,
        Promises promises,
        List<ServiceLevelObjective> contracts) {

    /** Lists that nobody changes. */
    public Scenario {
        servers = List.copyOf(servers);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        entries = List.copyOf(entries);
        contracts = List.copyOf(contracts);
    }

    /** For {@code lab.files.Kinds}, in the order in which they are printed. */
    public static List<Section> sections() {
        return List.of(
                new RunSection(),
                section(Network.TABLE),
                new Names(ServerKind.TABLE),
                new Names(RequestKind.TABLE),
                new Names(Tenant.TABLE),
                section(Clients.TABLE),
                section(Sidecars.TABLE),
                section(Discovery.TABLE),
                section(Rules.TABLE),
                new EntrySection(),
                section(Promises.TABLE),
                new Promises.Contracts(new ObjectiveSection()));
    }

    private static Section section(Table table) {
        return () -> table;
    }

    /** @param file what a file without problems was read to */
    public static Scenario read(Values file) {
        return new Scenario(
                one(Run.class, RunSection.TABLE, file),
                one(Network.class, Network.TABLE, file),
                all(ServerKind.class, ServerKind.TABLE, file),
                all(RequestKind.class, RequestKind.TABLE, file),
                all(Tenant.class, Tenant.TABLE, file),
                one(Clients.class, Clients.TABLE, file),
                one(Sidecars.class, Sidecars.TABLE, file),
                file.find(Discovery.TABLE)
                        .map(values -> Rows.read(Discovery.class, Discovery.TABLE, values))
                        .orElseGet(() -> new Discovery(
                                Discovery.Source.PLATFORM,
                                Duration.ofMillis(1_500),
                                Duration.ofMillis(400),
                                Duration.ofSeconds(8),
                                0,
                                1,
                                Discovery.Pace.PROMPT)),
                file.find(Rules.TABLE)
                        .map(values -> Rows.read(Rules.class, Rules.TABLE, values))
                        .orElseGet(() -> new Rules(
                                Duration.ofMillis(20),
                                Duration.ofSeconds(1),
                                0.32,
                                Duration.ofMillis(8_700),
                                2.5,
                                Duration.ofSeconds(3),
                                0.05)),
                all(Entry.class, Entry.TABLE, file),
                file.find(Promises.TABLE)
                        .map(values -> Rows.read(Promises.class, Promises.TABLE, values))
                        .orElse(Promises.NONE),
                ObjectiveSection.objectives(file));
    }

    private static <R extends Record> R one(Class<R> type, Table table, Values file) {
        return Rows.read(type, table, file.get(table));
    }

    private static <R extends Record> List<R> all(Class<R> type, Table table, Values file) {
        return file.all(table).stream()
                .map(values -> Rows.read(type, table, values))
                .toList();
    }

    /** A file that reads to this scenario. */
    public String toToml() {
        return "kind = \"scenario\"\n\n" + Rows.write(RunSection.TABLE, run) + Rows.write(Network.TABLE, network)
                + text(ServerKind.TABLE, servers) + text(RequestKind.TABLE, classes) + text(Tenant.TABLE, tenants)
                + Rows.write(Clients.TABLE, clients) + Rows.write(Sidecars.TABLE, sidecars)
                + Rows.write(Discovery.TABLE, discovery) + Rows.write(Rules.TABLE, rules) + text(Entry.TABLE, entries)
                + Rows.write(Promises.TABLE, promises)
                + contracts.stream().map(ObjectiveSection::toToml).collect(Collectors.joining());
    }

    private static String text(Table table, List<? extends Record> rows) {
        return rows.stream().map(row -> Rows.write(table, row)).collect(Collectors.joining());
    }

    /** Whom an entry of this scenario means. */
    public Target target(Entry entry) {
        return Target.of(entry.target(), this).orElseThrow();
    }

    /** Whether every entry names something of this scenario; of a file that was read, it does. */
    public boolean namesExist() {
        return entries.stream()
                .allMatch(entry -> Target.of(entry.target(), this).isPresent());
    }

    /** The same with another length, seed, fleet and entries; what names something that is gone must be left out. */
    public Scenario with(Run other, List<ServerKind> kinds, List<Entry> kept) {
        return new Scenario(
                other, network, kinds, classes, tenants, clients, sidecars, discovery, rules, kept, promises,
                contracts);
    }

    /** The same steered otherwise. */
    public Scenario steeredBy(Promises.Policy policy) {
        return new Scenario(
                run,
                network,
                servers,
                classes,
                tenants,
                clients,
                sidecars,
                discovery,
                rules,
                entries,
                new Promises(policy, promises.period(), promises.step(), promises.told(), promises.spread()),
                contracts);
    }

    /** The same with another seed. */
    public Scenario seeded(long seed) {
        return with(new Run(run.length(), seed), servers, entries);
    }

    /** In ms, with fractions. */
    public static double ms(Duration time) {
        return time.toNanos() / 1e6;
    }

    static Type<Duration> time(double leastMs, double mostMs) {
        return Types.duration(Duration.ofNanos(Math.round(leastMs * 1e6)), Duration.ofNanos(Math.round(mostMs * 1e6)));
    }
}
