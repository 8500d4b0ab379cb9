package peppergauge.snapshot.nonrepeatable;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The ids that must not run again, the oldest first: those sent, until it is proved that they never ran or they have
 * expired. Not thread-safe.
 */
final class NonRepeatableIds {

    /** How long an ended request is remembered: its response may not have reached the client. */
    static final double ENDED_RETENTION_MS = 30_000;
    /** How long a request that was under way at a crash is remembered. */
    static final double SENT_RETENTION_MS = 600_000;

    private final Map<String, JournalEntry> entries = new LinkedHashMap<>();

    void apply(JournalEntry entry) {
        entries.remove(entry.id());
        if (entry.kind() != JournalEntry.Kind.NEVER_RAN) {
            entries.put(entry.id(), entry);
        }
        assert contains(entry.id()) == (entry.kind() != JournalEntry.Kind.NEVER_RAN) : "not applied: " + entry;
    }

    boolean contains(String id) {
        return entries.containsKey(id);
    }

    int size() {
        return entries.size();
    }

    /** Removes expired entries; so does a time that is as far in the future, as after the clock was set back. */
    void removeExpired(double wallMs) {
        entries.values()
                .removeIf(entry -> Math.abs(wallMs - entry.wallMs())
                        >= (entry.kind() == JournalEntry.Kind.ENDED ? ENDED_RETENTION_MS : SENT_RETENTION_MS));
    }

    /** Returns the newest entries that fit, in order; entries of requests under way take precedence. */
    List<JournalEntry> newest(long maxBytes) {
        List<JournalEntry> fitting = new ArrayList<>();
        long remainingBytes = maxBytes;
        for (JournalEntry.Kind kind : new JournalEntry.Kind[] {JournalEntry.Kind.SENT, JournalEntry.Kind.ENDED}) {
            List<JournalEntry> all = new ArrayList<>(entries.values());
            for (int i = all.size() - 1; i >= 0; i--) {
                if (all.get(i).kind() == kind && (remainingBytes -= all.get(i).sizeBytes()) >= 0) {
                    fitting.add(all.get(i));
                }
            }
        }
        Collections.reverse(fitting);
        assert fitting.stream().mapToLong(JournalEntry::sizeBytes).sum() <= maxBytes : "more than fits in " + maxBytes;
        assert fitting.stream().map(JournalEntry::id).distinct().count() == fitting.size() : "an id is kept twice";
        return fitting;
    }

    void replaceWith(List<JournalEntry> remaining) {
        entries.clear();
        remaining.forEach(this::apply);
    }
}
