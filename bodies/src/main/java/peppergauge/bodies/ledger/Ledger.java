package peppergauge.bodies.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Who may keep how much. A body begins in memory; where that is not open to it, it moves to a file. Where neither is,
 * no more of it is kept than has been: what is kept goes on counting, for it is still to be sent a first time. Nothing
 * is pushed out for a body that comes: it takes what is free. So that something is free, the bodies with the least
 * claim are moved on once a tier is over {@link #HIGH}, from memory to a file, and from either to nothing where they
 * are kept for a retry alone: first those of tenants and classes over their share, then those that are worth least for
 * their length.
 *
 * <p>Bytes count where they are: while a body is written to a file they count in memory and in files. Not for use by
 * several threads; each public method is one event.
 */
public final class Ledger {

    /** From this use of a tier on, room is made in it, and who is over the share gets nothing more there. */
    static final double HIGH = 0.875;

    private final Bounds bounds;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final Use memory = new Use(Tier.MEMORY);
    private final Use files = new Use(Tier.FILE);
    private int inFiles;
    /** Bytes in memory that are being written to files. */
    private long leaving;
    /** Nothing could be moved on when that was last looked at, and nothing has changed since. */
    private boolean stuck;

    /** One body. */
    private static final class Entry {

        private final long id;
        private final Owner owner;
        /** What it is to have in all, as far as was told: what it is worth is judged by that. */
        private final long declared;

        private Tier tier = Tier.MEMORY;
        /** Its bytes are being written from memory to a file. */
        private boolean moving;
        /** No more of it is kept. */
        private boolean full;
        /** It is still to be read, by a first attempt or one more: it must not go. */
        private boolean needed = true;

        private long bytes;
        /** What counts for it in each tier. */
        private long inMemory;

        private long inFile;

        Entry(long id, Owner owner, long declared) {
            this.id = id;
            this.owner = owner;
            this.declared = declared;
        }

        long whole() {
            return Math.max(bytes, declared);
        }

        double claim() {
            return owner.worth() / Math.max(1, whole());
        }
    }

    /** What a tier holds, in all and by owner. */
    private final class Use {

        private final Tier tier;
        private final Map<Integer, Long> byTenant = new HashMap<>();
        private final Map<Integer, Long> byClass = new HashMap<>();
        private long all;

        Use(Tier tier) {
            this.tier = tier;
        }

        void add(Owner owner, long bytes) {
            all += bytes;
            add(byTenant, owner.tenant(), bytes);
            add(byClass, owner.requestClass(), bytes);
        }

        private static void add(Map<Integer, Long> of, int who, long bytes) {
            of.merge(who, bytes, (a, b) -> a + b == 0 ? null : a + b);
        }

        boolean holds(long sum) {
            return all == sum
                    && all <= bounds.all(tier)
                    && byTenant.values().stream().mapToLong(each -> each).sum() == all
                    && byClass.values().stream().mapToLong(each -> each).sum() == all;
        }

        boolean isOver(Owner owner, long more) {
            long most = (long) (bounds.share() * bounds.all(tier));
            return byTenant.getOrDefault(owner.tenant(), 0L) + more > most
                    || byClass.getOrDefault(owner.requestClass(), 0L) + more > most;
        }

        boolean isHigh(long more) {
            return all + more > HIGH * bounds.all(tier);
        }

        /** Whether a body that would have so many bytes here, so many of them new, may. */
        boolean opensTo(Owner owner, long whole, long more) {
            return whole <= bounds.each(tier)
                    && all + more <= bounds.all(tier)
                    && !(isHigh(more) && isOver(owner, more));
        }

        /** The same for one that has no file yet. */
        boolean opensAnew(Owner owner, long whole, long more) {
            return inFiles < bounds.mostFiles() && opensTo(owner, whole, more);
        }
    }

    public Ledger(Bounds bounds) {
        this.bounds = bounds;
    }

    // ---- A body comes ----

    /**
     * A body is announced; nothing of it has been read.
     *
     * @param declared its length in bytes, -1 if it is not told
     * @param must whether it must be kept to be taken
     * @return IN, and it is known from now on; else nothing has changed
     * @throws IllegalArgumentException if the id is known
     */
    public Letting open(long id, Owner owner, long declared, boolean must) {
        if (entries.containsKey(id)) {
            throw new IllegalArgumentException("a body with id " + id + " is open");
        }
        if (declared > (must ? bounds.longestKept() : bounds.longest())) {
            return Letting.TOO_LONG;
        }
        long length = Math.max(0, declared);
        if (!memory.opensTo(owner, length, length) && !files.opensAnew(owner, length, length)) {
            return must ? Letting.NO_ROOM : Letting.UNKEPT;
        }
        entries.put(id, new Entry(id, owner, length));
        assert sound() : this;
        return Letting.IN;
    }

    /**
     * More of a body has come, after what was told before.
     *
     * @return what is to be done now, with this body or others. To a file: these bytes go there too. To nothing: of
     * this     body no more is kept, beginning with these bytes, and it is not to grow again; of others nothing is left
     * @throws IllegalArgumentException if the id is not known, it is full, or it grows over the longest
     */
    public List<Move> grow(long id, long more) {
        Entry entry = entry(id);
        if (more < 0 || entry.full || entry.bytes + more > bounds.longest()) {
            throw new IllegalArgumentException("a body of " + (entry.bytes + more) + " bytes");
        }
        List<Move> moves = new ArrayList<>();
        stuck &= entry.bytes > 0;
        entry.bytes += more;
        if (entry.tier == Tier.MEMORY && !entry.moving) {
            if (memory.opensTo(entry.owner, entry.whole(), more)) {
                entry.inMemory += more;
                memory.add(entry.owner, more);
            } else if (!move(entry, moves)) {
                fill(entry, more, moves);
            }
        } else if (files.opensTo(entry.owner, entry.whole(), more)) {
            entry.inFile += more;
            files.add(entry.owner, more);
        } else {
            fill(entry, more, moves);
        }
        makeRoom(memory, moves);
        makeRoom(files, moves);
        assert sound() : this;
        return moves;
    }

    /** The sums are those of what is there, and within their bounds. Looks at all bodies. */
    private boolean sound() {
        long inMemory = 0;
        long inFile = 0;
        long onTheWay = 0;
        int withFile = 0;
        for (Entry entry : entries.values()) {
            inMemory += entry.inMemory;
            inFile += entry.inFile;
            onTheWay += entry.moving ? entry.inMemory : 0;
            withFile += entry.moving || entry.tier == Tier.FILE ? 1 : 0;
            if (entry.bytes < 0 || entry.bytes > bounds.longest() || entry.tier == Tier.NONE && !entry.full) {
                return false;
            }
        }
        return memory.holds(inMemory)
                && files.holds(inFile)
                && leaving == onTheWay
                && inFiles == withFile
                && inFiles <= bounds.mostFiles();
    }

    @Override
    public String toString() {
        return "bodies " + entries.size() + ", in memory " + memory.all + ", on the way " + leaving + ", in " + inFiles
                + " files " + files.all + ", within " + bounds;
    }

    /** All of it goes to a file, if that is open to it. */
    private boolean move(Entry entry, List<Move> moves) {
        if (!files.opensAnew(entry.owner, entry.whole(), entry.bytes)) {
            return false;
        }
        inFiles++;
        entry.inFile = entry.bytes;
        files.add(entry.owner, entry.inFile);
        entry.moving = true;
        leaving += entry.inMemory;
        moves.add(new Move(entry.id, Tier.FILE));
        return true;
    }

    private void fill(Entry entry, long more, List<Move> moves) {
        entry.bytes -= more;
        entry.full = true;
        moves.add(new Move(entry.id, Tier.NONE));
    }

    private void forget(Entry entry) {
        memory.add(entry.owner, -entry.inMemory);
        files.add(entry.owner, -entry.inFile);
        inFiles -= entry.moving || entry.tier == Tier.FILE ? 1 : 0;
        leaving -= entry.moving ? entry.inMemory : 0;
        stuck = false;
        entry.inMemory = 0;
        entry.inFile = 0;
        entry.moving = false;
        entry.full = true;
        entry.tier = Tier.NONE;
    }

    /** Moves on those with the least claim until the tier is no longer high; what already moves is as good as gone. */
    private void makeRoom(Use use, List<Move> moves) {
        List<Entry> least = null;
        for (int i = 0; !stuck && use.isHigh(use == memory ? -leaving : 0); i++) {
            if (least == null) {
                least = entries.values().stream()
                        .filter(each ->
                                each.tier == use.tier && !each.moving && !each.full && each.inMemory + each.inFile > 0)
                        .sorted(Comparator.<Entry>comparingInt(each -> use.isOver(each.owner, 0) ? 0 : 1)
                                .thenComparingDouble(Entry::claim))
                        .toList();
            }
            if (i == least.size()) {
                stuck = true;
                return;
            }
            Entry entry = least.get(i);
            if ((use == files || !move(entry, moves)) && !entry.needed) {
                forget(entry);
                moves.add(new Move(entry.id, Tier.NONE));
            }
        }
    }

    // ---- What became of it ----

    /** All bytes that it had when it was to move are in the file: they count in memory no more. */
    public void moved(long id) {
        Entry entry = entry(id);
        if (entry.moving) {
            memory.add(entry.owner, -entry.inMemory);
            leaving -= entry.inMemory;
            entry.inMemory = 0;
            entry.moving = false;
            entry.tier = Tier.FILE;
            stuck = false;
        }
        assert sound() : this;
    }

    /** Its file takes no more: what is in it stays, and counts on; what is not stays where it is. */
    public void failed(long id) {
        entry(id).full = true;
    }

    /** Whether it is still to be read: one that is not is kept for a retry alone, and may have to go for others. */
    public void needed(long id, boolean needed) {
        entry(id).needed = needed;
        stuck = false;
    }

    /** No attempt needs it any more; it is not known from now on. */
    public void release(long id) {
        forget(entry(id));
        entries.remove(id);
        assert sound() : this;
    }

    private Entry entry(long id) {
        Entry entry = entries.get(id);
        if (entry == null) {
            throw new IllegalArgumentException("no body with id " + id);
        }
        return entry;
    }

    // ---- What others see ----

    public Bounds bounds() {
        return bounds;
    }

    /** Where it is kept; while it moves, still in memory. */
    public Tier tier(long id) {
        return entry(id).tier;
    }

    /** Bytes that count in a tier. */
    public long used(Tier tier) {
        return tier == Tier.MEMORY ? memory.all : tier == Tier.FILE ? files.all : 0;
    }

    /** Of these the ones of a tenant. */
    public long usedBy(Tier tier, int tenant) {
        Use use = tier == Tier.MEMORY ? memory : files;
        return tier == Tier.NONE ? 0 : use.byTenant.getOrDefault(tenant, 0L);
    }

    /** Bodies that are known. */
    public int size() {
        return entries.size();
    }
}
