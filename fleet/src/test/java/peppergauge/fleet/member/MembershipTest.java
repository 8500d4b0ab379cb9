package peppergauge.fleet.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import peppergauge.fleet.member.Member.Status;

/** Three instances in a network that tests cut; time is passed in. */
public class MembershipTest {

    private static final Membership.Timeouts PATIENCE = new Membership.Timeouts(1_000, 1_000);
    private static final Set<String> ALL = Set.of("a", "b", "c");
    private final List<Membership> three = new ArrayList<>();
    private final Set<String> cut = new HashSet<>();
    private long now = 10_000;

    private Membership instance(String name) {
        Set<String> peers = new HashSet<>(ALL);
        peers.remove(name);
        return new Membership(name, now, peers, PATIENCE, now);
    }

    private void start() {
        three.clear();
        cut.clear();
        now = 10_000;
        List.of("a", "b", "c").forEach(name -> three.add(instance(name)));
        run(500);
    }

    private void run(long ms) {
        for (long until = now + ms; now < until; now += 100) {
            for (int i = 0; i < 3; i++) {
                three.get(i).updateStatus(now);
                for (int j = 0; j < 3; j++) {
                    if (i != j && !cut.contains(pair(i, j))) {
                        three.get(j)
                                .onContact(
                                        "abc".substring(i, i + 1), three.get(i).incarnation(), now);
                        three.get(j).merge(three.get(i).members(), now);
                    }
                }
            }
        }
    }

    private static String pair(int i, int j) {
        return Math.min(i, j) + "-" + Math.max(i, j);
    }

    private Status at(int observer, int observed) {
        return three.get(observer).members().get(observed).standing();
    }

    @Test
    public void silenceMakesSuspectThenDeadAndTheNextHasTheDuty() {
        start();
        assertEquals(
                List.of(
                        three.get(0).isLeader(),
                        three.get(1).isLeader(),
                        three.get(2).isLeader()),
                List.of(true, false, false));
        cut.addAll(Set.of("0-1", "0-2"));
        run(1_500);
        assertEquals(at(1, 0), Status.SUSPECT);
        assertFalse(three.get(1).isLeader(), "one that is suspect may well be there");
        run(1_500);
        assertEquals(at(1, 0), Status.DEAD);
        assertTrue(three.get(0).isLeader() && three.get(1).isLeader(), "both sides of a partition go on");
        assertFalse(three.get(2).isLeader());
        cut.clear();
        run(300);
        for (int i = 0; i < 3; i++) {
            assertEquals(at(i, 0), Status.ALIVE, "it refutes");
            assertEquals(three.get(i).isLeader(), i == 0);
        }
    }

    /** Where only two do not reach each other, the third's word keeps both from burying the other for good. */
    @Test
    public void oneBrokenLinkDoesNotSplitThem() {
        start();
        cut.add("0-1");
        run(10_000);
        assertTrue(three.get(1).isPresent("a")
                && three.get(0).isPresent("b")
                && three.get(2).isLeader() == false);
    }

    @Test
    public void leavingNeedsNoSuspicionAndAProcessStartedAnewComesBack() {
        start();
        three.get(0).leave(now);
        run(200);
        assertEquals(at(1, 0), Status.LEFT);
        assertTrue(three.get(1).isLeader());
        three.set(0, instance("a"));
        run(200);
        assertEquals(at(1, 0), Status.ALIVE);
        assertFalse(three.get(1).isLeader());
        // With a clock that went back its incarnation is the lesser: what is said of the one before, it outbids.
        now -= 9_000;
        three.set(0, instance("a"));
        now += 9_000;
        run(200);
        assertEquals(at(1, 0), Status.ALIVE);
        assertEquals(three.get(0).incarnation(), three.get(1).members().get(0).incarnation());
    }
}
