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
import peppergauge.thrift.method.Method;
import peppergauge.thrift.method.Methods;
import peppergauge.thrift.wire.Bounds;
import peppergauge.thrift.wire.FieldPath;
import peppergauge.thrift.wire.Form;

/**
 * What the file says, by the names of one sidecar's settings.
 *
 * @param form of clients; null if it is recognised
 * @param only beginnings of the ids of the servers that speak Thrift; none means all
 * @param probe the method that returns a load report
 */
public record ThriftSettings(
        InetSocketAddress listen,
        Form form,
        Bounds bounds,
        Form serversForm,
        List<String> only,
        Optional<String> probe,
        Methods methods) {

    /**
     * @param file of a kind that has a {@link ThriftSection}
     * @throws IllegalArgumentException if it names a class or tenant that the settings do not have
     */
    public static ThriftSettings read(Values file, SettingsNames names) {
        Values thrift = file.get(ThriftSection.TABLE);
        Values servers = thrift.get(ThriftSection.SERVERS);
        String listen = thrift.get(ThriftSection.LISTEN);
        int colon = listen.lastIndexOf(':');
        String form = thrift.get(ThriftSection.FORM);
        return new ThriftSettings(
                new InetSocketAddress(listen.substring(0, colon), Integer.parseInt(listen.substring(colon + 1))),
                form.equals(ThriftSection.RECOGNISED) ? null : form(form),
                new Bounds(
                        Math.toIntExact(thrift.get(ThriftSection.LONGEST)),
                        Math.toIntExact(thrift.get(ThriftSection.DEEPEST))),
                form(servers.get(ThriftSection.SERVERS_FORM)),
                servers.find(ThriftSection.ONLY).orElse(List.of()),
                servers.find(ThriftSection.PROBE),
                new Methods(
                        thrift.all(ThriftSection.METHODS).stream()
                                .map(method -> method(method, names))
                                .toList(),
                        names.tenants()));
    }

    /** Whether the server of this id speaks Thrift. */
    public boolean speaksThrift(String server) {
        return only.isEmpty() || only.stream().anyMatch(server::startsWith);
    }

    static boolean isPath(String text) {
        try {
            FieldPath.parse(text);
            return true;
        } catch (NumberFormatException beyond) {
            return false;
        }
    }

    private static Form form(String name) {
        return Form.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private static Method method(Values method, SettingsNames names) {
        int requestClass = names.classes().indexOf(method.get(ThriftSection.CLASS));
        if (requestClass < 0) {
            throw new IllegalArgumentException(method.place(ThriftSection.CLASS) + ": thrift.method.class: "
                    + "the settings have only " + names.classes());
        }
        Set<Short> neverRan = method.find(ThriftSection.NEVER_RAN).orElse(List.of()).stream()
                .map(Long::shortValue)
                .collect(Collectors.toSet());
        return new Method(
                method.get(ThriftSection.NAME),
                requestClass,
                path(method, ThriftSection.ID),
                path(method, ThriftSection.TENANT),
                path(method, ThriftSection.KEY),
                path(method, ThriftSection.REMAINING),
                absentTenant(method, names),
                method.get(ThriftSection.ABSENT_REMAINING).toNanos() / 1e6,
                neverRan,
                path(method, ThriftSection.LOAD));
    }

    private static int absentTenant(Values method, SettingsNames names) {
        Optional<String> name = method.find(ThriftSection.ABSENT_TENANT);
        if (names.tenants().isEmpty()) {
            return 0;
        }
        int tenant = name.map(names.tenants()::indexOf).orElse(-1);
        if (tenant < 0 && (name.isPresent() || method.find(ThriftSection.TENANT).isEmpty())) {
            throw new IllegalArgumentException(method.place(ThriftSection.ABSENT_TENANT)
                    + ": thrift.method: needs tenant, or an absent-tenant of the settings' " + names.tenants());
        }
        return tenant;
    }

    private static Optional<FieldPath> path(Values method, Key<String> key) {
        return method.find(key).map(FieldPath::parse);
    }
}
