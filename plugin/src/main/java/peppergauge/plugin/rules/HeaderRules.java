package peppergauge.plugin.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import peppergauge.request.Message;

/**
 * Which headers a plug-in may set or remove. Guards against what would make two readers differ on a head (line breaks,
 * names that are no token), and against a plug-in that speaks for the sidecar or the client.
 */
public final class HeaderRules {

    public static final int MOST_CHANGES = 32;
    public static final int LONGEST_NAME = 64;
    public static final int LONGEST_VALUE = 1024;
    /** Characters that plug-ins may have added to one session; a head has 8 KiB in all. */
    public static final int MOST_ADDED = 2048;

    /** What belongs to the connection, to the framing, or says who asks and for how long. */
    private static final Set<String> NEVER = Set.of(
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

    private final Set<String> allowed;

    /** @throws IllegalArgumentException naming a header that no plug-in may touch */
    public HeaderRules(List<String> names) {
        Set<String> lower = new TreeSet<>();
        for (String name : names) {
            if (!isToken(name) || NEVER.contains(name.toLowerCase(Locale.ROOT))) {
                throw new IllegalArgumentException("no plug-in may write the header " + name);
            }
            lower.add(name.toLowerCase(Locale.ROOT));
        }
        allowed = Set.copyOf(lower);
    }

    /** Why a list of changes is not carried out; nothing of it is then. */
    public Optional<String> fault(List<Verdict.Change> changes) {
        if (changes.size() > MOST_CHANGES) {
            return Optional.of("more than " + MOST_CHANGES + " headers");
        }
        for (Verdict.Change change : changes) {
            if (!isToken(change.name())) {
                return Optional.of("a header's name that is none");
            } else if (!allowed.contains(change.name().toLowerCase(Locale.ROOT))) {
                return Optional.of("a header that is not granted: " + change.name());
            } else if (change.adds() && !isValue(change.value())) {
                return Optional.of("a value of " + change.name() + " that is none");
            }
        }
        return Optional.empty();
    }

    /** The fields after the changes; those untouched keep their order. */
    public static List<Message.Field> apply(List<Message.Field> fields, List<Verdict.Change> changes) {
        List<Message.Field> result = new ArrayList<>(fields);
        for (Verdict.Change change : changes) {
            result.removeIf(field -> field.name().equalsIgnoreCase(change.name()));
            if (change.adds()) {
                result.add(new Message.Field(change.name(), change.value()));
            }
        }
        return result;
    }

    static int added(List<Verdict.Change> changes) {
        return changes.stream()
                .filter(Verdict.Change::adds)
                .mapToInt(change -> change.name().length() + change.value().length() + 4)
                .sum();
    }

    private static boolean isToken(String name) {
        return !name.isEmpty()
                && name.length() <= LONGEST_NAME
                && name.chars()
                        .allMatch(letter -> letter > ' ' && letter < 0x7f && "\"(),/:;<=>?@[\\]{}".indexOf(letter) < 0);
    }

    /** Visible ASCII, with blanks inside. */
    private static boolean isValue(String value) {
        return value.length() <= LONGEST_VALUE
                && value.equals(value.strip())
                && value.chars().allMatch(letter -> letter >= ' ' && letter < 0x7f);
    }
}
