package peppergauge.fleet.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One instance's view of all of them, after SWIM: silence makes suspect, longer silence dead, and only the instance
 * itself refutes either, by a greater incarnation. Views merge in any order. Not safe for several threads.
 */
public final class Membership {

    /**
     * @param suspectMs silence after which an instance is suspect
     * @param deadMs further silence after which it is dead
     */
    public record Patience(long suspectMs, long deadMs) {}

    /** Further than any clock tells: of a greater one nothing could be refuted any more. */
    private static final long MOST_INCARNATION = 1L << 60;

    private final String self;
    private final Patience patience;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> sinceMs = new HashMap<>();

    /**
     * @param incarnation greater at each start: Unix time of it, ms
     * @param peers the others' names; of no other anything is believed
     */
    public Membership(String self, long incarnation, Set<String> peers, Patience patience, long nowMs) {
        this.self = self;
        this.patience = patience;
        peers.forEach(name -> put(new Member(name, 0, Member.Standing.ALIVE), nowMs));
        put(new Member(self, incarnation, Member.Standing.ALIVE), nowMs);
    }

    private void put(Member member, long nowMs) {
        Member before = members.put(member.name(), member);
        assert before == null || member.overrides(before) : member + " after " + before;
        sinceMs.put(member.name(), nowMs);
    }

    /** It spoke, by itself. */
    public void heard(String name, long incarnation, long nowMs) {
        Member known = members.get(name);
        if (known != null && !name.equals(self) && incarnation <= MOST_INCARNATION) {
            Member said = new Member(name, incarnation, Member.Standing.ALIVE);
            if (said.overrides(known)) {
                put(said, nowMs);
            } else if (known.incarnation() == incarnation && known.standing() == Member.Standing.ALIVE) {
                sinceMs.put(name, nowMs);
            }
        }
    }

    /** What another believes. */
    public void merge(List<Member> told, long nowMs) {
        for (Member member : told) {
            Member known = members.get(member.name());
            if (known == null || !member.overrides(known) || member.incarnation() > MOST_INCARNATION) {
                continue;
            }
            if (!member.name().equals(self)) {
                put(member, nowMs);
            } else if (known.standing() != Member.Standing.LEFT) {
                // Refutes what is said of this one, be it of a process before it.
                put(new Member(self, member.incarnation() + 1, Member.Standing.ALIVE), nowMs);
            }
        }
    }

    /** Time has passed. */
    public void tick(long nowMs) {
        for (Member member : List.copyOf(members.values())) {
            long silentMs = nowMs - sinceMs.get(member.name());
            if (member.name().equals(self)) {
                continue;
            }
            if (member.standing() == Member.Standing.ALIVE && silentMs > patience.suspectMs()) {
                put(new Member(member.name(), member.incarnation(), Member.Standing.SUSPECT), nowMs);
            } else if (member.standing() == Member.Standing.SUSPECT && silentMs > patience.deadMs()) {
                put(new Member(member.name(), member.incarnation(), Member.Standing.DEAD), nowMs);
            }
        }
    }

    /** Ends in order: nobody has to suspect it. */
    public void leave(long nowMs) {
        put(new Member(self, incarnation(), Member.Standing.LEFT), nowMs);
    }

    public long incarnation() {
        return members.get(self).incarnation();
    }

    /** By name. */
    public List<Member> view() {
        return List.copyOf(members.values());
    }

    /** Whether it is there as far as is known; one that is suspect is. */
    public boolean present(String name) {
        Member member = members.get(name);
        return member != null && member.standing().compareTo(Member.Standing.SUSPECT) <= 0;
    }

    /** Whether none of a lesser name is there: that one publishes, so that readers seldom meet two plans. */
    public boolean onDuty() {
        return members.keySet().stream()
                .filter(this::present)
                .findFirst()
                .map(self::equals)
                .orElse(true);
    }
}
