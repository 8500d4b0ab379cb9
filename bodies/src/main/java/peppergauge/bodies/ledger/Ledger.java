package peppergauge.bodies.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Accounts for the storage of request bodies and decides in which tier each is buffered. A body starts in memory; when
 * memory cannot hold it, it is moved to a file. When no file can either, no more of it is buffered; its buffered bytes
 * remain accounted for, since they are still to be sent a first time.
 *
 * <p>A new body takes free space only and evicts no other. To keep space free, bodies are moved from memory to files
 * once a tier is used over {@link #NEARLY_FULL}, or discarded from either tier if only a retry would need them: first
 * those of tenants and classes over their share, then those with the least priority weight per byte.
 *
 * <p>Bytes are accounted to the tiers that hold them: while a body is being written to a file, to memory and files. Not
 * thread-safe.
 */
public final class Ledger {

    /** The used fraction of a tier from which on space is freed, and owners over their share get no more. */
    static final double NEARLY_FULL = 0.875;

    private final StorageLimits limits;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final TierUsage memory = new TierUsage(Tier.MEMORY);
    private final TierUsage files = new TierUsage(Tier.FILE);
    private int fileCount;
    /** Bytes in memory that are being written to files. */
    private long movingBytes;
    /** Whether the last search found nothing to move or discard, and nothing has changed since. */
    private boolean nothingToFree;

    /** The account of one body. */
    private static final class Entry {

        private final long id;
        private final BodyOwner owner;
        /** The declared length, 0 if unknown; it counts for the priority of the body from the start. */
        private final long declaredBytes;

        private Tier tier = Tier.MEMORY;
        /** Whether its bytes are being written from memory to a file. */
        private boolean moving;
        /** Whether no more of it is buffered. */
        private boolean full;
        /** Whether a first attempt or a retry is still to read it, so that it must not be discarded. */
        private boolean needed = true;

        private long bytes;
        private long memoryBytes;
        private long fileBytes;

        Entry(long id, BodyOwner owner, long declaredBytes) {
            this.id = id;
            this.owner = owner;
            this.declaredBytes = declaredBytes;
        }

        long expectedBytes() {
            return Math.max(bytes, declaredBytes);
        }

        double weightPerByte() {
            return owner.priorityWeight() / Math.max(1, expectedBytes());
        }
    }

    /** The bytes used of a tier, in total, by tenant and by request class. */
    private final class TierUsage {

        private final Tier tier;
        private final Map<Integer, Long> byTenant = new HashMap<>();
        private final Map<Integer, Long> byClass = new HashMap<>();
        private long total;

        TierUsage(Tier tier) {
            this.tier = tier;
        }

        void add(BodyOwner owner, long bytes) {
            total += bytes;
            add(byTenant, owner.tenant(), bytes);
            add(byClass, owner.requestClass(), bytes);
        }

        private static void add(Map<Integer, Long> usage, int index, long bytes) {
            usage.merge(index, bytes, (a, b) -> a + b == 0 ? null : a + b);
        }

        boolean isConsistentWith(long expectedTotal) {
            return total == expectedTotal
                    && total <= limits.totalBytes(tier)
                    && byTenant.values().stream().mapToLong(bytes -> bytes).sum() == total
                    && byClass.values().stream().mapToLong(bytes -> bytes).sum() == total;
        }

        boolean exceedsShare(BodyOwner owner, long moreBytes) {
            long maxBytes = (long) (limits.maxOwnerShare() * limits.totalBytes(tier));
            return byTenant.getOrDefault(owner.tenant(), 0L) + moreBytes > maxBytes
                    || byClass.getOrDefault(owner.requestClass(), 0L) + moreBytes > maxBytes;
        }

        boolean isNearlyFull(long moreBytes) {
            return total + moreBytes > NEARLY_FULL * limits.totalBytes(tier);
        }

        /** Whether the tier can hold a body of {@code bodyBytes}, of which {@code moreBytes} are new to it. */
        boolean canHold(BodyOwner owner, long bodyBytes, long moreBytes) {
            return bodyBytes <= limits.maxBodyBytes(tier)
                    && total + moreBytes <= limits.totalBytes(tier)
                    && !(isNearlyFull(moreBytes) && exceedsShare(owner, moreBytes));
        }

        /** Whether it can hold the body in one more file. */
        boolean canHoldInNewFile(BodyOwner owner, long bodyBytes, long moreBytes) {
            return fileCount < limits.maxFiles() && canHold(owner, bodyBytes, moreBytes);
        }
    }

    public Ledger(StorageLimits limits) {
        this.limits = limits;
    }

    // ---- Receiving ----

    /**
     * Decides on a new body, of which nothing has been read.
     *
     * @param declaredBytes its length, -1 if unknown until it ends
     * @param mustBuffer whether it is rejected if it cannot be buffered
     * @return BUFFERED if the ledger accounts for it from now on; otherwise nothing has changed
     * @throws IllegalArgumentException if the id is in use
     */
    public Admission admit(long id, BodyOwner owner, long declaredBytes, boolean mustBuffer) {
        if (entries.containsKey(id)) {
            throw new IllegalArgumentException("body id " + id + " is already in use");
        }
        if (declaredBytes > (mustBuffer ? limits.maxBufferedBodyBytes() : limits.maxBodyBytes())) {
            return Admission.TOO_LONG;
        }
        long bytes = Math.max(0, declaredBytes);
        if (!memory.canHold(owner, bytes, bytes) && !files.canHoldInNewFile(owner, bytes, bytes)) {
            return mustBuffer ? Admission.NO_CAPACITY : Admission.STREAMED;
        }
        entries.put(id, new Entry(id, owner, bytes));
        assert isConsistent() : this;
        return Admission.BUFFERED;
    }

    /**
     * Accounts for more bytes of a body.
     *
     * @return the changes to apply to this body and to others. To FILE: the new bytes are written to the file too. To
     *     NONE: of this body no more is buffered, beginning with the new bytes, and it must not grow again; of another
     *     body all bytes are discarded
     * @throws IllegalArgumentException if the id is unknown, the body is full, or it exceeds the length limit
     */
    public List<TierChange> grow(long id, long moreBytes) {
        Entry entry = entry(id);
        if (moreBytes < 0 || entry.full || entry.bytes + moreBytes > limits.maxBodyBytes()) {
            throw new IllegalArgumentException("body " + id + " of " + entry.bytes + " bytes cannot grow by "
                    + moreBytes + "; limit " + limits.maxBodyBytes() + ", full " + entry.full);
        }
        List<TierChange> changes = new ArrayList<>();
        nothingToFree &= entry.bytes > 0;
        entry.bytes += moreBytes;
        if (entry.tier == Tier.MEMORY && !entry.moving) {
            if (memory.canHold(entry.owner, entry.expectedBytes(), moreBytes)) {
                entry.memoryBytes += moreBytes;
                memory.add(entry.owner, moreBytes);
            } else if (!startMove(entry, changes)) {
                rejectGrowth(entry, moreBytes, changes);
            }
        } else if (files.canHold(entry.owner, entry.expectedBytes(), moreBytes)) {
            entry.fileBytes += moreBytes;
            files.add(entry.owner, moreBytes);
        } else {
            rejectGrowth(entry, moreBytes, changes);
        }
        freeSpace(memory, changes);
        freeSpace(files, changes);
        assert isConsistent() : this;
        return changes;
    }

    /** Whether the totals match the entries and are within the limits. Visits all entries. */
    private boolean isConsistent() {
        long expectedMemory = 0;
        long expectedFiles = 0;
        long expectedMoving = 0;
        int expectedFileCount = 0;
        for (Entry entry : entries.values()) {
            expectedMemory += entry.memoryBytes;
            expectedFiles += entry.fileBytes;
            expectedMoving += entry.moving ? entry.memoryBytes : 0;
            expectedFileCount += entry.moving || entry.tier == Tier.FILE ? 1 : 0;
            if (entry.bytes < 0 || entry.bytes > limits.maxBodyBytes() || entry.tier == Tier.NONE && !entry.full) {
                return false;
            }
        }
        return memory.isConsistentWith(expectedMemory)
                && files.isConsistentWith(expectedFiles)
                && movingBytes == expectedMoving
                && fileCount == expectedFileCount
                && fileCount <= limits.maxFiles();
    }

    @Override
    public String toString() {
        return "Ledger[bodies=" + entries.size() + ", memoryBytes=" + memory.total + ", movingBytes=" + movingBytes
                + ", fileCount=" + fileCount + ", fileBytes=" + files.total + ", limits=" + limits + "]";
    }

    /** Starts to move a body from memory to a file, if files can hold it. */
    private boolean startMove(Entry entry, List<TierChange> changes) {
        if (!files.canHoldInNewFile(entry.owner, entry.expectedBytes(), entry.bytes)) {
            return false;
        }
        fileCount++;
        entry.fileBytes = entry.bytes;
        files.add(entry.owner, entry.fileBytes);
        entry.moving = true;
        movingBytes += entry.memoryBytes;
        changes.add(new TierChange(entry.id, Tier.FILE));
        return true;
    }

    private void rejectGrowth(Entry entry, long moreBytes, List<TierChange> changes) {
        entry.bytes -= moreBytes;
        entry.full = true;
        changes.add(new TierChange(entry.id, Tier.NONE));
    }

    private void discard(Entry entry) {
        memory.add(entry.owner, -entry.memoryBytes);
        files.add(entry.owner, -entry.fileBytes);
        fileCount -= entry.moving || entry.tier == Tier.FILE ? 1 : 0;
        movingBytes -= entry.moving ? entry.memoryBytes : 0;
        nothingToFree = false;
        entry.memoryBytes = 0;
        entry.fileBytes = 0;
        entry.moving = false;
        entry.full = true;
        entry.tier = Tier.NONE;
    }

    /** Moves or discards bodies until the tier is no longer nearly full. Bytes that are moving count as freed. */
    private void freeSpace(TierUsage usage, List<TierChange> changes) {
        List<Entry> candidates = null;
        for (int i = 0; !nothingToFree && usage.isNearlyFull(usage == memory ? -movingBytes : 0); i++) {
            if (candidates == null) {
                candidates = entries.values().stream()
                        .filter(entry -> entry.tier == usage.tier
                                && !entry.moving
                                && !entry.full
                                && entry.memoryBytes + entry.fileBytes > 0)
                        .sorted(Comparator.<Entry>comparingInt(entry -> usage.exceedsShare(entry.owner, 0) ? 0 : 1)
                                .thenComparingDouble(Entry::weightPerByte))
                        .toList();
            }
            if (i == candidates.size()) {
                nothingToFree = true;
                return;
            }
            Entry entry = candidates.get(i);
            if ((usage == files || !startMove(entry, changes)) && !entry.needed) {
                discard(entry);
                changes.add(new TierChange(entry.id, Tier.NONE));
            }
        }
    }

    // ---- Results of changes ----

    /** All bytes that a body had when its move started are in the file, and are released from memory. */
    public void onMoved(long id) {
        Entry entry = entry(id);
        if (entry.moving) {
            memory.add(entry.owner, -entry.memoryBytes);
            movingBytes -= entry.memoryBytes;
            entry.memoryBytes = 0;
            entry.moving = false;
            entry.tier = Tier.FILE;
            nothingToFree = false;
        }
        assert isConsistent() : this;
    }

    /** A body's file accepts no more bytes. All bytes buffered so far remain accounted for in their tiers. */
    public void onFileFailed(long id) {
        entry(id).full = true;
    }

    /** Sets whether a body is still to be read. One that is not is buffered for a retry only, and may be discarded. */
    public void setNeeded(long id, boolean needed) {
        entry(id).needed = needed;
        nothingToFree = false;
    }

    /** Releases a body's storage and forgets its id. */
    public void release(long id) {
        discard(entry(id));
        entries.remove(id);
        assert isConsistent() : this;
    }

    private Entry entry(long id) {
        Entry entry = entries.get(id);
        if (entry == null) {
            throw new IllegalArgumentException("unknown body id " + id);
        }
        return entry;
    }

    // ---- State ----

    public StorageLimits limits() {
        return limits;
    }

    /** The tier of a body; MEMORY until its move to a file is complete. */
    public Tier tier(long id) {
        return entry(id).tier;
    }

    /** The bytes used of a tier. */
    public long usedBytes(Tier tier) {
        return tier == Tier.MEMORY ? memory.total : tier == Tier.FILE ? files.total : 0;
    }

    /** The bytes of a tier that one tenant uses. */
    public long usedBytes(Tier tier, int tenant) {
        TierUsage usage = tier == Tier.MEMORY ? memory : files;
        return tier == Tier.NONE ? 0 : usage.byTenant.getOrDefault(tenant, 0L);
    }

    /** The number of bodies accounted for. */
    public int size() {
        return entries.size();
    }
}
