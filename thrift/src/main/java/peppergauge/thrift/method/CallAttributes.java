package peppergauge.thrift.method;

import java.util.Optional;
import peppergauge.thrift.wire.FieldPath;
import peppergauge.thrift.wire.FieldReader;
import peppergauge.thrift.wire.FieldValue;
import peppergauge.thrift.wire.MalformedMessageException;
import peppergauge.thrift.wire.RawMessage;

/**
 * Attributes of a request that its call contains.
 *
 * @param id null if no field is configured for it
 * @param tenant its index in the settings
 * @param key what the call concerns; empty if it has none
 * @param remainingMs how long the client waits, from the arrival of the last byte of the call
 */
public record CallAttributes(String id, int tenant, String key, double remainingMs) {

    private static final int MAX_ID_CHARS = 128;
    /** Limits how long a request is kept; no client waits longer. */
    private static final double MAX_REMAINING_MS = 3_600_000;

    /**
     * Reads the attributes of a call.
     *
     * @throws MalformedMessageException if an attribute is missing, occurs twice or is invalid; the text, which is sent
     *     to the client, tells which one
     */
    public static CallAttributes read(RawMessage call, MethodConfig method, MethodRegistry methods)
            throws MalformedMessageException {
        String id = method.idPath().isEmpty()
                ? null
                : readText(call, method.idPath(), "the id")
                        .orElseThrow(() -> new MalformedMessageException("the id is missing"));
        if (id != null && (id.isBlank() || id.length() > MAX_ID_CHARS)) {
            throw new MalformedMessageException("the id is unusable");
        }
        Optional<String> tenantName = readText(call, method.tenantPath(), "the tenant");
        int tenant = tenantName.isPresent() ? methods.tenantIndex(tenantName.get()) : method.defaultTenant();
        if (tenant < 0) {
            throw new MalformedMessageException(
                    tenantName.isPresent() ? "no tenant has this name" : "the tenant is missing");
        }
        String key = readText(call, method.keyPath(), "the key").orElse("");
        return new CallAttributes(id, tenant, key, readRemainingMs(call, method));
    }

    private static Optional<String> readText(RawMessage call, Optional<FieldPath> path, String attribute)
            throws MalformedMessageException {
        Optional<FieldValue> value = find(call, path);
        if (value.isPresent() && value.get().text() == null) {
            throw new MalformedMessageException(attribute + " is no text in UTF-8 and no whole number");
        }
        return value.map(FieldValue::text);
    }

    private static double readRemainingMs(RawMessage call, MethodConfig method) throws MalformedMessageException {
        Optional<FieldValue> value = find(call, method.remainingTimePath());
        double remainingMs = value.isPresent() ? value.get().number() : method.defaultRemainingMs();
        if (!(remainingMs >= 0 && remainingMs <= MAX_REMAINING_MS)) {
            throw new MalformedMessageException("the remaining time is unusable");
        }
        return remainingMs;
    }

    private static Optional<FieldValue> find(RawMessage call, Optional<FieldPath> path)
            throws MalformedMessageException {
        return path.isEmpty() ? Optional.empty() : FieldReader.find(call, path.get());
    }
}
