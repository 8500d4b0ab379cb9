package peppergauge.fleet.member;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import peppergauge.invariant.Loads;

/** Instances that hear of each other now and then, end, leave and start anew, and are told what cannot be. */
public final class MembersLoad {

    private static final int STEPS = Loads.steps(600);
    private static final Membership.Timeouts PATIENCE = new Membership.Timeouts(1_000, 2_000);
    private static final List<String> NAMES = List.of("a", "b", "c", "d");
    private static final long[] INCARNATIONS = {0, 1, 1L << 50, Long.MAX_VALUE - 1, Long.MAX_VALUE};

    private final SplittableRandom random;
    /** Null where it is down. */
    private final Membership[] views = new Membership[NAMES.size()];

    private long nowMs = 1_700_000_000_000L;

    private MembersLoad(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        MembersLoad load = new MembersLoad(seed);
        load.whole();
        load.anyOrder();
    }

    private void whole() {
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
                case 5 -> tell(at, List.of(any()));
                default -> hears(at, random.nextInt(views.length));
            }
            if (views[at] != null) {
                views[at].updateStatus(nowMs);
            }
        }
        calm();
    }

    private void start(int at) {
        if (views[at] == null) {
            Set<String> peers = new HashSet<>(NAMES);
            peers.remove(NAMES.get(at));
            views[at] = new Membership(NAMES.get(at), nowMs, peers, PATIENCE, nowMs);
        }
    }

    private Member any() {
        return new Member(
                NAMES.get(random.nextInt(NAMES.size())),
                INCARNATIONS[random.nextInt(INCARNATIONS.length)],
                Member.Status.values()[random.nextInt(4)]);
    }

    private void tell(int at, List<Member> told) {
        if (views[at] != null) {
            views[at].merge(told, nowMs);
        }
    }

    private void hears(int at, int from) {
        if (at != from && views[at] != null && views[from] != null) {
            views[at].onContact(NAMES.get(from), views[from].incarnation(), nowMs);
            views[at].merge(views[from].members(), nowMs);
        }
    }

    /** No message is lost any more: all that are up see each other, none that is down, and one is on duty. */
    private void calm() {
        if (views[0] == null) {
            start(0);
        }
        for (int round = 0; round < 20; round++) {
            nowMs += 300;
            for (int at = 0; at < views.length; at++) {
                for (int from = 0; from < views.length; from++) {
                    hears(at, from);
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
                        NAMES.get(i) + " is seen as " + view.members());
            }
        }
        long onDuty = IntStream.range(0, views.length)
                .filter(i -> views[i] != null && views[i].isLeader())
                .count();
        require(onDuty == 1, onDuty + " are on duty");
    }

    /** The same accounts of others in any order, any number of times, make the same view, of known names alone. */
    private void anyOrder() {
        Membership one = new Membership("x", 1, Set.copyOf(NAMES), PATIENCE, 0);
        Membership other = new Membership("x", 1, Set.copyOf(NAMES), PATIENCE, 0);
        List<Member> told = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            told.add(any());
        }
        told.add(new Member("stranger", 9, Member.Status.ALIVE));
        one.merge(told, 0);
        while (!told.isEmpty()) {
            Member each = told.get(random.nextInt(told.size()));
            other.merge(List.of(each), 0);
            if (random.nextBoolean()) {
                told.remove(each);
            }
        }
        require(one.members().equals(other.members()), one.members() + " and " + other.members());
        require(one.members().size() == NAMES.size() + 1, "a stranger is in " + one.members());
    }
}
