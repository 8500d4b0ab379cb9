package peppergauge.thrift.file;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import peppergauge.operator.Key;
import peppergauge.operator.Values;
import peppergauge.settings.SettingsNames;
import peppergauge.thrift.method.MethodConfig;
import peppergauge.thrift.method.MethodRegistry;
import peppergauge.thrift.wire.FieldPath;
import peppergauge.thrift.wire.MessageLimits;
import peppergauge.thrift.wire.WireFormat;

/**
 * The configuration of the section {@code [thrift]}, with classes and tenants resolved by the sidecar's settings.
 *
 * @param listen where Thrift clients connect
 * @param clientFormat null to detect it from the first bytes of each connection
 * @param limits of calls and replies
 * @param serverFormat of all servers that speak Thrift
 * @param serverIdPrefixes of the servers that speak Thrift; empty if all do
 * @param probeMethod the method that returns a load report
 */
public record ThriftSettings(
        InetSocketAddress listen,
        WireFormat clientFormat,
        MessageLimits limits,
        WireFormat serverFormat,
        List<String> serverIdPrefixes,
        Optional<String> probeMethod,
        MethodRegistry methods) {

    private static final double NANOS_PER_MS = 1e6;

    /**
     * Reads the section of a valid file.
     *
     * @param file of a kind that has a {@link ThriftSection}
     * @throws IllegalArgumentException if it names a class or a tenant that the settings do not contain
     */
    public static ThriftSettings read(Values file, SettingsNames names) {
        Values thrift = file.get(ThriftSection.TABLE);
        Values servers = thrift.get(ThriftSection.SERVERS);
        String listen = thrift.get(ThriftSection.LISTEN);
        int colon = listen.lastIndexOf(':');
        String clientFormat = thrift.get(ThriftSection.CLIENT_FORM);
        return new ThriftSettings(
                new InetSocketAddress(listen.substring(0, colon), Integer.parseInt(listen.substring(colon + 1))),
                clientFormat.equals(ThriftSection.RECOGNISED) ? null : parseFormat(clientFormat),
                new MessageLimits(
                        Math.toIntExact(thrift.get(ThriftSection.LONGEST_MESSAGE)),
                        Math.toIntExact(thrift.get(ThriftSection.DEEPEST_NESTING))),
                parseFormat(servers.get(ThriftSection.SERVER_FORM)),
                servers.find(ThriftSection.SERVER_ID_PREFIXES).orElse(List.of()),
                servers.find(ThriftSection.PROBE),
                new MethodRegistry(
                        thrift.all(ThriftSection.METHODS).stream()
                                .map(method -> readMethod(method, names))
                                .toList(),
                        names.tenants()));
    }

    /** Whether the server with this id speaks Thrift. */
    public boolean speaksThrift(String serverId) {
        return serverIdPrefixes.isEmpty() || serverIdPrefixes.stream().anyMatch(serverId::startsWith);
    }

    /** Whether all field ids of a path are 16-bit integers. */
    static boolean isValidPath(String text) {
        try {
            FieldPath.parse(text);
            return true;
        } catch (NumberFormatException outOfRange) {
            return false;
        }
    }

    private static WireFormat parseFormat(String name) {
        return WireFormat.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private static MethodConfig readMethod(Values method, SettingsNames names) {
        int requestClass = names.classes().indexOf(method.get(ThriftSection.CLASS));
        if (requestClass < 0) {
            throw new IllegalArgumentException(method.place(ThriftSection.CLASS) + ": thrift.method.class: is "
                    + method.get(ThriftSection.CLASS) + "; expected one of the settings' classes " + names.classes());
        }
        Set<Short> notExecutedFields = method.find(ThriftSection.NEVER_RAN).orElse(List.of()).stream()
                .map(Long::shortValue)
                .collect(Collectors.toSet());
        return new MethodConfig(
                method.get(ThriftSection.NAME),
                requestClass,
                readPath(method, ThriftSection.ID),
                readPath(method, ThriftSection.TENANT),
                readPath(method, ThriftSection.KEY),
                readPath(method, ThriftSection.REMAINING),
                defaultTenant(method, names),
                method.get(ThriftSection.ABSENT_REMAINING).toNanos() / NANOS_PER_MS,
                notExecutedFields,
                readPath(method, ThriftSection.LOAD));
    }

    /** The index of the tenant of calls that name none; -1 if they are rejected. */
    private static int defaultTenant(Values method, SettingsNames names) {
        Optional<String> name = method.find(ThriftSection.ABSENT_TENANT);
        if (names.tenants().isEmpty()) {
            return 0;
        }
        int tenant = name.map(names.tenants()::indexOf).orElse(-1);
        if (tenant < 0 && (name.isPresent() || method.find(ThriftSection.TENANT).isEmpty())) {
            throw new IllegalArgumentException(method.place(ThriftSection.ABSENT_TENANT)
                    + ": thrift.method: needs tenant, or an absent-tenant among the settings' " + names.tenants());
        }
        return tenant;
    }

    private static Optional<FieldPath> readPath(Values method, Key<String> key) {
        return method.find(key).map(FieldPath::parse);
    }
}
