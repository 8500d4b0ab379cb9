package peppergauge.fleet.member;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import peppergauge.invariant.Loads;

/** Random load on membership: instances exchange views, crash, leave and restart, and receive impossible views. */
public final class MembershipLoad {

    private static final int STEPS = Loads.steps(600);
    private static final Membership.Timeouts TIMEOUTS = new Membership.Timeouts(1_000, 2_000);
    private static final List<String> NAMES = List.of("a", "b", "c", "d");
    private static final long[] INCARNATIONS = {0, 1, 1L << 50, Long.MAX_VALUE - 1, Long.MAX_VALUE};

    private final SplittableRandom random;
    /** View of each instance, null while it is down. */
    private final Membership[] views = new Membership[NAMES.size()];

    private long nowMs = 1_700_000_000_000L;

    private MembershipLoad(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @throws AssertionError if an invariant or a requirement of this load is violated */
    public static void run(long seed) {
        MembershipLoad load = new MembershipLoad(seed);
        load.runWithFaults();
        load.checkMergeOrder();
    }

    private void runWithFaults() {
        for (int i = 0; i < views.length; i++) {
            start(i);
        }
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(300);
            int at = random.nextInt(views.length);
            switch (random.nextInt(30)) {
                case 0 -> views[at] = null;
                case 1 -> {
                    if (views[at] != null) {
                        views[at].leave(nowMs);
                        views[at] = null;
                    }
                }
                case 2, 3 -> start(at);
                case 4 -> nowMs += 2_500;
                case 5 -> mergeAt(at, List.of(randomMember()));
                default -> exchange(at, random.nextInt(views.length));
            }
            if (views[at] != null) {
                views[at].updateStatus(nowMs);
            }
        }
        settleAndCheck();
    }

    private void start(int at) {
        if (views[at] == null) {
            Set<String> peers = new HashSet<>(NAMES);
            peers.remove(NAMES.get(at));
            views[at] = new Membership(NAMES.get(at), nowMs, peers, TIMEOUTS, nowMs);
        }
    }

    private Member randomMember() {
        return new Member(
                NAMES.get(random.nextInt(NAMES.size())),
                INCARNATIONS[random.nextInt(INCARNATIONS.length)],
                Member.Status.values()[random.nextInt(4)]);
    }

    private void mergeAt(int at, List<Member> members) {
        if (views[at] != null) {
            views[at].merge(members, nowMs);
        }
    }

    private void exchange(int at, int from) {
        if (at != from && views[at] != null && views[from] != null) {
            views[at].onContact(NAMES.get(from), views[from].incarnation(), nowMs);
            views[at].merge(views[from].members(), nowMs);
        }
    }

    /** Delivers all messages: instances that are up then see each other and no other one, and one is the leader. */
    private void settleAndCheck() {
        if (views[0] == null) {
            start(0);
        }
        for (int round = 0; round < 20; round++) {
            nowMs += 300;
            for (int at = 0; at < views.length; at++) {
                for (int from = 0; from < views.length; from++) {
                    exchange(at, from);
                }
                if (views[at] != null) {
                    views[at].updateStatus(nowMs);
                }
            }
        }
        for (Membership view : views) {
            for (int i = 0; i < views.length && view != null; i++) {
                require(
                        view.isPresent(NAMES.get(i)) == (views[i] != null),
                        "expected the right status of " + NAMES.get(i) + ", got " + view.members());
            }
        }
        long leaders = IntStream.range(0, views.length)
                .filter(i -> views[i] != null && views[i].isLeader())
                .count();
        require(leaders == 1, "expected one leader, got " + leaders);
    }

    /** Merging the same members in any order and repeatedly results in the same view, of known names only. */
    private void checkMergeOrder() {
        Membership one = new Membership("x", 1, Set.copyOf(NAMES), TIMEOUTS, 0);
        Membership other = new Membership("x", 1, Set.copyOf(NAMES), TIMEOUTS, 0);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            members.add(randomMember());
        }
        members.add(new Member("stranger", 9, Member.Status.ALIVE));
        one.merge(members, 0);
        while (!members.isEmpty()) {
            Member each = members.get(random.nextInt(members.size()));
            other.merge(List.of(each), 0);
            if (random.nextBoolean()) {
                members.remove(each);
            }
        }
        require(
                one.members().equals(other.members()),
                "expected equal views, got " + one.members() + " and " + other.members());
        require(one.members().size() == NAMES.size() + 1, "expected no unknown name in " + one.members());
    }
}
