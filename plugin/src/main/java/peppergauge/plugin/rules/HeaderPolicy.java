package peppergauge.plugin.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import peppergauge.request.Message;

/**
 * Which headers a plug-in may set or remove. Rejects names and values that HTTP parsers could read differently (line
 * breaks, names that are not a token) and headers that only the sidecar or the client may set. Immutable.
 */
public final class HeaderPolicy {

    public static final int MAX_CHANGES = 32;
    public static final int MAX_NAME_CHARS = 64;
    public static final int MAX_VALUE_CHARS = 1024;
    /** Limit on the header characters that plug-ins add to one request; the whole message head may have 8 KiB. */
    public static final int MAX_ADDED_CHARS = 2048;

    /** Headers of the connection and of message framing, and those that identify the request and its deadline. */
    private static final Set<String> RESERVED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            "host",
            "x-txn",
            "x-org",
            "x-remaining-ms",
            "x-resent",
            "x-rehearsal",
            "x-pressure",
            "x-turned-away");

    /** The colon and blank after the name and the line end after the value. */
    private static final int FIELD_SEPARATOR_CHARS = 4;

    private final Set<String> allowed;

    /** @throws IllegalArgumentException with the name of a header that no plug-in may change */
    public HeaderPolicy(List<String> names) {
        Set<String> lowerCase = new TreeSet<>();
        for (String name : names) {
            if (!isToken(name) || RESERVED.contains(name.toLowerCase(Locale.ROOT))) {
                throw new IllegalArgumentException("no plug-in may write the header " + name);
            }
            lowerCase.add(name.toLowerCase(Locale.ROOT));
        }
        allowed = Set.copyOf(lowerCase);
    }

    /** The reason why the changes are not allowed, in which case none of them is to be applied; empty if they are. */
    public Optional<String> violation(List<Verdict.HeaderChange> changes) {
        if (changes.size() > MAX_CHANGES) {
            return Optional.of("more than " + MAX_CHANGES + " headers");
        }
        for (Verdict.HeaderChange change : changes) {
            if (!isToken(change.name())) {
                return Optional.of("invalid header name of " + change.name().length() + " characters");
            } else if (!allowed.contains(change.name().toLowerCase(Locale.ROOT))) {
                return Optional.of("header " + change.name() + " is not granted");
            } else if (change.isSet() && !isValue(change.value())) {
                return Optional.of("invalid value of header " + change.name());
            }
        }
        return Optional.empty();
    }

    /** The fields after the changes; unchanged fields keep their order. */
    public static List<Message.Field> apply(List<Message.Field> fields, List<Verdict.HeaderChange> changes) {
        List<Message.Field> result = new ArrayList<>(fields);
        for (Verdict.HeaderChange change : changes) {
            result.removeIf(field -> field.name().equalsIgnoreCase(change.name()));
            if (change.isSet()) {
                result.add(new Message.Field(change.name(), change.value()));
            }
        }
        return result;
    }

    /** Number of characters that the changes add to the message head. */
    static int addedChars(List<Verdict.HeaderChange> changes) {
        return changes.stream()
                .filter(Verdict.HeaderChange::isSet)
                .mapToInt(change -> change.name().length() + change.value().length() + FIELD_SEPARATOR_CHARS)
                .sum();
    }

    private static boolean isToken(String name) {
        return !name.isEmpty()
                && name.length() <= MAX_NAME_CHARS
                && name.chars().allMatch(c -> c > ' ' && c < 0x7f && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0);
    }

    /** Whether the value is printable ASCII without blanks at its ends. */
    private static boolean isValue(String value) {
        return value.length() <= MAX_VALUE_CHARS
                && value.equals(value.strip())
                && value.chars().allMatch(c -> c >= ' ' && c < 0x7f);
    }
}
