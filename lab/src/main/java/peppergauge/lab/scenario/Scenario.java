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
 * The contents of a scenario file. Immutable; files with the same meaning are equal.
 *
 * @param servers kinds of backend servers, at least one
 * @param classes classes of requests, at least one
 * @param tenants tenants; without any, all requests belong to one tenant
 * @param entries incidents, in the order of the file
 * @param contracts service level objectives of stations
 */
public record Scenario(
        Run run,
        Network network,
        List<ServerGroup> servers,
        List<RequestClassSpec> classes,
        List<Tenant> tenants,
        ClientSettings clients,
        Sidecars sidecars,
        Discovery discovery,
        RuleSettings rules,
        List<ScheduledIncident> entries,
        ZoneWeightPolicy promises,
        List<ServiceLevelObjective> contracts) {

    /** Makes immutable copies of the lists. */
    public Scenario {
        servers = List.copyOf(servers);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        entries = List.copyOf(entries);
        contracts = List.copyOf(contracts);
    }

    /** Returns the sections for {@code lab.files.OperatorFileKinds}, in the order in which they are printed. */
    public static List<Section> sections() {
        return List.of(
                new RunSection(),
                section(Network.TABLE),
                new UniqueNamesSection(ServerGroup.TABLE),
                new UniqueNamesSection(RequestClassSpec.TABLE),
                new UniqueNamesSection(Tenant.TABLE),
                section(ClientSettings.TABLE),
                section(Sidecars.TABLE),
                section(Discovery.TABLE),
                section(RuleSettings.TABLE),
                new IncidentSection(),
                section(ZoneWeightPolicy.TABLE),
                new ZoneWeightPolicy.ObjectivesSection(new ObjectiveSection()));
    }

    private static Section section(Table table) {
        return () -> table;
    }

    /** @param file values of a file without problems */
    public static Scenario read(Values file) {
        return new Scenario(
                row(Run.class, RunSection.TABLE, file),
                row(Network.class, Network.TABLE, file),
                rows(ServerGroup.class, ServerGroup.TABLE, file),
                rows(RequestClassSpec.class, RequestClassSpec.TABLE, file),
                rows(Tenant.class, Tenant.TABLE, file),
                row(ClientSettings.class, ClientSettings.TABLE, file),
                row(Sidecars.class, Sidecars.TABLE, file),
                file.find(Discovery.TABLE)
                        .map(values -> TableRecords.read(Discovery.class, Discovery.TABLE, values))
                        .orElseGet(() -> new Discovery(
                                Discovery.Source.PLATFORM,
                                Duration.ofMillis(1_500),
                                Duration.ofMillis(400),
                                Duration.ofSeconds(8),
                                0,
                                1,
                                Discovery.Pace.PROMPT)),
                file.find(RuleSettings.TABLE)
                        .map(values -> TableRecords.read(RuleSettings.class, RuleSettings.TABLE, values))
                        .orElseGet(() -> new RuleSettings(
                                Duration.ofMillis(20),
                                Duration.ofSeconds(1),
                                0.32,
                                Duration.ofMillis(8_700),
                                2.5,
                                Duration.ofSeconds(3),
                                0.05)),
                rows(ScheduledIncident.class, ScheduledIncident.TABLE, file),
                file.find(ZoneWeightPolicy.TABLE)
                        .map(values -> TableRecords.read(ZoneWeightPolicy.class, ZoneWeightPolicy.TABLE, values))
                        .orElse(ZoneWeightPolicy.NONE),
                ObjectiveSection.objectives(file));
    }

    private static <R extends Record> R row(Class<R> type, Table table, Values file) {
        return TableRecords.read(type, table, file.get(table));
    }

    private static <R extends Record> List<R> rows(Class<R> type, Table table, Values file) {
        return file.all(table).stream()
                .map(values -> TableRecords.read(type, table, values))
                .toList();
    }

    /** Returns this scenario as the text of a file. */
    public String toToml() {
        return "kind = \"scenario\"\n\n" + TableRecords.write(RunSection.TABLE, run)
                + TableRecords.write(Network.TABLE, network) + toToml(ServerGroup.TABLE, servers)
                + toToml(RequestClassSpec.TABLE, classes) + toToml(Tenant.TABLE, tenants)
                + TableRecords.write(ClientSettings.TABLE, clients) + TableRecords.write(Sidecars.TABLE, sidecars)
                + TableRecords.write(Discovery.TABLE, discovery) + TableRecords.write(RuleSettings.TABLE, rules)
                + toToml(ScheduledIncident.TABLE, entries)
                + TableRecords.write(ZoneWeightPolicy.TABLE, promises)
                + contracts.stream().map(ObjectiveSection::toToml).collect(Collectors.joining());
    }

    private static String toToml(Table table, List<? extends Record> rows) {
        return rows.stream().map(row -> TableRecords.write(table, row)).collect(Collectors.joining());
    }

    /** Returns the target of an entry of this scenario. */
    public Target target(ScheduledIncident entry) {
        return Target.of(entry.target(), this).orElseThrow();
    }

    /** Returns whether the targets of all entries exist, which holds for a file that was read without problems. */
    public boolean targetsExist() {
        return entries.stream()
                .allMatch(entry -> Target.of(entry.target(), this).isPresent());
    }

    /** Returns the same scenario with another run, other servers and entries; targets of the entries must exist. */
    public Scenario with(Run otherRun, List<ServerGroup> otherServers, List<ScheduledIncident> otherEntries) {
        return new Scenario(
                otherRun,
                network,
                otherServers,
                classes,
                tenants,
                clients,
                sidecars,
                discovery,
                rules,
                otherEntries,
                promises,
                contracts);
    }

    /** Returns the same scenario with another policy for zone weights. */
    public Scenario withPolicy(ZoneWeightPolicy.Policy policy) {
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
                new ZoneWeightPolicy(policy, promises.period(), promises.step(), promises.told(), promises.spread()),
                contracts);
    }

    /** Returns the same scenario with another seed. */
    public Scenario withSeed(long seed) {
        return with(new Run(run.length(), seed), servers, entries);
    }

    /** Returns a duration in ms, with fractions. */
    public static double toMillis(Duration time) {
        return time.toNanos() / 1e6;
    }

    /** Returns the type of a duration within inclusive bounds. */
    static Type<Duration> duration(double minMs, double maxMs) {
        return Types.duration(Duration.ofNanos(Math.round(minMs * 1e6)), Duration.ofNanos(Math.round(maxMs * 1e6)));
    }
}
