package peppergauge.fleet.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One instance's view of the membership, by the SWIM protocol: a silent instance becomes suspect, then dead, and
 * refutes either status with a greater incarnation. Views merge to the same result in any order. Not thread-safe.
 */
public final class Membership {

    /**
     * Timeouts of the failure detector.
     *
     * @param suspectMs silence after which an instance is suspect, ms
     * @param deadMs further silence after which it is dead, ms
     */
    public record Timeouts(long suspectMs, long deadMs) {}

    /** Greater incarnations are ignored, since no greater one would be left to refute them. */
    private static final long MAX_INCARNATION = 1L << 60;

    private final String self;
    private final Timeouts timeouts;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> sinceMs = new HashMap<>();

    /**
     * Starts with all peers alive.
     *
     * @param self name of this instance
     * @param incarnation Unix time of its start, ms
     * @param peers names of the other instances; all other names are ignored
     */
    public Membership(String self, long incarnation, Set<String> peers, Timeouts timeouts, long nowMs) {
        this.self = self;
        this.timeouts = timeouts;
        peers.forEach(name -> put(new Member(name, 0, Member.Status.ALIVE), nowMs));
        put(new Member(self, incarnation, Member.Status.ALIVE), nowMs);
    }

    private void put(Member member, long nowMs) {
        Member before = members.put(member.name(), member);
        assert before == null || member.overrides(before) : "expected " + member + " to override " + before;
        sinceMs.put(member.name(), nowMs);
    }

    /** Records that an instance sent a message of its own. */
    public void onContact(String name, long incarnation, long nowMs) {
        Member known = members.get(name);
        if (known != null && !name.equals(self) && incarnation <= MAX_INCARNATION) {
            Member contact = new Member(name, incarnation, Member.Status.ALIVE);
            if (contact.overrides(known)) {
                put(contact, nowMs);
            } else if (known.incarnation() == incarnation && known.standing() == Member.Status.ALIVE) {
                sinceMs.put(name, nowMs);
            }
        }
    }

    /** Merges the view of another instance. */
    public void merge(List<Member> others, long nowMs) {
        for (Member member : others) {
            Member known = members.get(member.name());
            if (known == null || !member.overrides(known) || member.incarnation() > MAX_INCARNATION) {
                continue;
            }
            if (!member.name().equals(self)) {
                put(member, nowMs);
            } else if (known.standing() != Member.Status.LEFT) {
                // Refutes a status of this instance, or of an earlier process with its name.
                put(new Member(self, member.incarnation() + 1, Member.Status.ALIVE), nowMs);
            }
        }
    }

    /** Marks silent instances as suspect or dead. To be called regularly. */
    public void updateStatus(long nowMs) {
        for (Member member : List.copyOf(members.values())) {
            long silentMs = nowMs - sinceMs.get(member.name());
            if (member.name().equals(self)) {
                continue;
            }
            if (member.standing() == Member.Status.ALIVE && silentMs > timeouts.suspectMs()) {
                put(new Member(member.name(), member.incarnation(), Member.Status.SUSPECT), nowMs);
            } else if (member.standing() == Member.Status.SUSPECT && silentMs > timeouts.deadMs()) {
                put(new Member(member.name(), member.incarnation(), Member.Status.DEAD), nowMs);
            }
        }
    }

    /** Marks this instance as left, for a graceful shutdown. */
    public void leave(long nowMs) {
        put(new Member(self, incarnation(), Member.Status.LEFT), nowMs);
    }

    /** Returns the incarnation of this instance. */
    public long incarnation() {
        return members.get(self).incarnation();
    }

    /** Returns all instances, sorted by name. */
    public List<Member> members() {
        return List.copyOf(members.values());
    }

    /** Returns whether an instance is alive or suspect. */
    public boolean isPresent(String name) {
        Member member = members.get(name);
        return member != null && member.standing().compareTo(Member.Status.SUSPECT) <= 0;
    }

    /** Returns whether this instance is the leader: the first by name of those that are present. */
    public boolean isLeader() {
        return members.keySet().stream()
                .filter(this::isPresent)
                .findFirst()
                .map(self::equals)
                .orElse(true);
    }
}
