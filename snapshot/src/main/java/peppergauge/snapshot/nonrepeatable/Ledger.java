package peppergauge.snapshot.nonrepeatable;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The ids that must not run again, by the entries told so far, the oldest first: those sent, until it is proved that
 * they never ran or so long after their end that no client can come back with one. Not safe for several threads.
 */
final class Ledger {

    /** An end is remembered so long: the answer may have been on its way to the client when the process ended. */
    static final double ENDED_KEPT_MS = 30_000;
    /** What was under way at a crash is remembered so long. */
    static final double SENT_KEPT_MS = 600_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    void tell(Entry entry) {
        entries.remove(entry.id());
        if (entry.kind() != Entry.Kind.NEVER_RAN) {
            entries.put(entry.id(), entry);
        }
        assert holds(entry.id()) == (entry.kind() != Entry.Kind.NEVER_RAN) : "not as told: " + entry;
    }

    boolean holds(String id) {
        return entries.containsKey(id);
    }

    int size() {
        return entries.size();
    }

    /** Forgets what is too old; a time in the future counts as old once the clock has been set back for so long. */
    void forgetOld(double wallMs) {
        entries.values()
                .removeIf(entry -> Math.abs(wallMs - entry.wallMs())
                        >= (entry.kind() == Entry.Kind.ENDED ? ENDED_KEPT_MS : SENT_KEPT_MS));
    }

    /** The newest entries that fit, in the order told; those that did not end go before those that did. */
    List<Entry> newest(long mostBytes) {
        List<Entry> kept = new ArrayList<>();
        long left = mostBytes;
        for (Entry.Kind kind : new Entry.Kind[] {Entry.Kind.SENT, Entry.Kind.ENDED}) {
            List<Entry> all = new ArrayList<>(entries.values());
            for (int i = all.size() - 1; i >= 0; i--) {
                if (all.get(i).kind() == kind && (left -= all.get(i).size()) >= 0) {
                    kept.add(all.get(i));
                }
            }
        }
        Collections.reverse(kept);
        assert kept.stream().mapToLong(Entry::size).sum() <= mostBytes : "more than fits in " + mostBytes;
        assert kept.stream().map(Entry::id).distinct().count() == kept.size() : "an id is kept twice";
        return kept;
    }

    void keepOnly(List<Entry> kept) {
        entries.clear();
        kept.forEach(this::tell);
    }
}
