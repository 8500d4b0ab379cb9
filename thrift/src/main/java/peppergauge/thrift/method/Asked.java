package peppergauge.thrift.method;

import java.util.Optional;
import peppergauge.thrift.wire.FieldPath;
import peppergauge.thrift.wire.Fields;
import peppergauge.thrift.wire.Malformed;
import peppergauge.thrift.wire.RawMessage;
import peppergauge.thrift.wire.Value;

/**
 * What a call says of its session.
 *
 * @param id null if the method has no place for one
 * @param key empty if there is none
 * @param remainingMs how long its client waits, from its last byte on
 */
public record Asked(String id, int tenant, String key, double remainingMs) {

    private static final int LONGEST_ID = 128;
    /** More than any client waits; it bounds how long a session may be kept. */
    private static final double LONGEST_WAIT_MS = 3_600_000;

    /** @throws Malformed if a fact is missing, stands there twice or makes no sense; the text says which */
    public static Asked read(RawMessage call, Method method, Methods methods) throws Malformed {
        String id = method.id().isEmpty()
                ? null
                : text(call, method.id(), "the id").orElseThrow(() -> new Malformed("the id is missing"));
        if (id != null && (id.isBlank() || id.length() > LONGEST_ID)) {
            throw new Malformed("the id is unusable");
        }
        Optional<String> name = text(call, method.tenant(), "the tenant");
        int tenant = name.isPresent() ? methods.tenantOf(name.get()) : method.absentTenant();
        if (tenant < 0) {
            throw new Malformed(name.isPresent() ? "no tenant has this name" : "the tenant is missing");
        }
        return new Asked(id, tenant, text(call, method.key(), "the key").orElse(""), remaining(call, method));
    }

    private static Optional<String> text(RawMessage call, Optional<FieldPath> path, String what) throws Malformed {
        Optional<Value> value = path.isEmpty() ? Optional.empty() : Fields.find(call, path.get());
        if (value.isPresent() && value.get().text() == null) {
            throw new Malformed(what + " is no text in UTF-8 and no whole number");
        }
        return value.map(Value::text);
    }

    private static double remaining(RawMessage call, Method method) throws Malformed {
        Optional<Value> value = method.remaining().isEmpty()
                ? Optional.empty()
                : Fields.find(call, method.remaining().get());
        double ms = value.isPresent() ? value.get().number() : method.absentRemainingMs();
        if (!(ms >= 0 && ms <= LONGEST_WAIT_MS)) {
            throw new Malformed("the remaining time is unusable");
        }
        return ms;
    }
}
