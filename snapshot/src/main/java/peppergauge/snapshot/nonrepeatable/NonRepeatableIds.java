package peppergauge.snapshot.nonrepeatable;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The ids of requests that must not run again, in the order of their latest journal entries. An id is kept from the
 * sending of its request until it is proved that the request never ran, or until the id expires. Not thread-safe.
 */
final class NonRepeatableIds {

    /** How long the id of an ended request is kept, since its response may not have reached the client. */
    static final double ENDED_RETENTION_MS = 30_000;
    /** How long the id of a request that was in flight at a crash is kept. */
    static final double SENT_RETENTION_MS = 600_000;

    private final Map<String, JournalEntry> entries = new LinkedHashMap<>();

    void apply(JournalEntry entry) {
        entries.remove(entry.id());
        if (entry.kind() != JournalEntry.Kind.NEVER_RAN) {
            entries.put(entry.id(), entry);
        }
        assert contains(entry.id()) == (entry.kind() != JournalEntry.Kind.NEVER_RAN) : "entry not applied: " + entry;
    }

    boolean contains(String id) {
        return entries.containsKey(id);
    }

    int size() {
        return entries.size();
    }

    /** Removes expired entries, and entries that are dated as far in the future because the clock was set back. */
    void removeExpired(double wallMs) {
        entries.values()
                .removeIf(entry -> Math.abs(wallMs - entry.wallMs())
                        >= (entry.kind() == JournalEntry.Kind.ENDED ? ENDED_RETENTION_MS : SENT_RETENTION_MS));
    }

    /** Returns the newest entries that fit into {@code maxBytes}; entries of requests in flight take precedence. */
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
        assert fitting.stream().mapToLong(JournalEntry::sizeBytes).sum() <= maxBytes
                : "entries exceed " + maxBytes + " bytes";
        assert fitting.stream().map(JournalEntry::id).distinct().count() == fitting.size() : "an id occurs twice";
        return fitting;
    }

    void replaceWith(List<JournalEntry> remaining) {
        entries.clear();
        remaining.forEach(this::apply);
    }
}
