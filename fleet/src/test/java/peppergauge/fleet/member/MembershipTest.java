package peppergauge.fleet.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import peppergauge.fleet.member.Member.Standing;

/** Three instances in a network that tests cut; time is passed in. */
public class MembershipTest {

    private static final Membership.Patience PATIENCE = new Membership.Patience(1_000, 1_000);
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
                three.get(i).tick(now);
                for (int j = 0; j < 3; j++) {
                    if (i != j && !cut.contains(pair(i, j))) {
                        three.get(j)
                                .heard("abc".substring(i, i + 1), three.get(i).incarnation(), now);
                        three.get(j).merge(three.get(i).view(), now);
                    }
                }
            }
        }
    }

    private static String pair(int i, int j) {
        return Math.min(i, j) + "-" + Math.max(i, j);
    }

    private Standing at(int observer, int observed) {
        return three.get(observer).view().get(observed).standing();
    }

    @Test
    public void silenceMakesSuspectThenDeadAndTheNextHasTheDuty() {
        start();
        assertEquals(
                List.of(
                        three.get(0).onDuty(),
                        three.get(1).onDuty(),
                        three.get(2).onDuty()),
                List.of(true, false, false));
        cut.addAll(Set.of("0-1", "0-2"));
        run(1_500);
        assertEquals(at(1, 0), Standing.SUSPECT);
        assertFalse(three.get(1).onDuty(), "one that is suspect may well be there");
        run(1_500);
        assertEquals(at(1, 0), Standing.DEAD);
        assertTrue(three.get(0).onDuty() && three.get(1).onDuty(), "both sides of a partition go on");
        assertFalse(three.get(2).onDuty());
        cut.clear();
        run(300);
        for (int i = 0; i < 3; i++) {
            assertEquals(at(i, 0), Standing.ALIVE, "it refutes");
            assertEquals(three.get(i).onDuty(), i == 0);
        }
    }

    /** Where only two do not reach each other, the third's word keeps both from burying the other for good. */
    @Test
    public void oneBrokenLinkDoesNotSplitThem() {
        start();
        cut.add("0-1");
        run(10_000);
        assertTrue(three.get(1).present("a")
                && three.get(0).present("b")
                && three.get(2).onDuty() == false);
    }

    @Test
    public void leavingNeedsNoSuspicionAndAProcessStartedAnewComesBack() {
        start();
        three.get(0).leave(now);
        run(200);
        assertEquals(at(1, 0), Standing.LEFT);
        assertTrue(three.get(1).onDuty());
        three.set(0, instance("a"));
        run(200);
        assertEquals(at(1, 0), Standing.ALIVE);
        assertFalse(three.get(1).onDuty());
        // With a clock that went back its incarnation is the lesser: what is said of the one before, it outbids.
        now -= 9_000;
        three.set(0, instance("a"));
        now += 9_000;
        run(200);
        assertEquals(at(1, 0), Standing.ALIVE);
        assertEquals(three.get(0).incarnation(), three.get(1).view().get(0).incarnation());
    }
}
