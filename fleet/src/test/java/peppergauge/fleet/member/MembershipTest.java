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

/** Tests of a group of instances in virtual time, with links that tests can break. */
public class MembershipTest {

    private static final Membership.Timeouts TIMEOUTS = new Membership.Timeouts(1_000, 1_000);
    private static final Set<String> NAMES = Set.of("a", "b", "c");
    private final List<Membership> instances = new ArrayList<>();
    private final Set<String> brokenLinks = new HashSet<>();
    private long now = 10_000;

    private Membership instance(String name) {
        Set<String> peers = new HashSet<>(NAMES);
        peers.remove(name);
        return new Membership(name, now, peers, TIMEOUTS, now);
    }

    private void start() {
        instances.clear();
        brokenLinks.clear();
        now = 10_000;
        List.of("a", "b", "c").forEach(name -> instances.add(instance(name)));
        run(500);
    }

    private void run(long ms) {
        for (long until = now + ms; now < until; now += 100) {
            for (int i = 0; i < 3; i++) {
                instances.get(i).updateStatus(now);
                for (int j = 0; j < 3; j++) {
                    if (i != j && !brokenLinks.contains(pair(i, j))) {
                        instances
                                .get(j)
                                .onContact(
                                        "abc".substring(i, i + 1),
                                        instances.get(i).incarnation(),
                                        now);
                        instances.get(j).merge(instances.get(i).members(), now);
                    }
                }
            }
        }
    }

    private static String pair(int i, int j) {
        return Math.min(i, j) + "-" + Math.max(i, j);
    }

    private Status statusSeenBy(int observer, int observed) {
        return instances.get(observer).members().get(observed).standing();
    }

    @Test
    public void silentInstanceBecomesSuspectThenDeadAndNextOneLeads() {
        start();
        assertEquals(
                List.of(
                        instances.get(0).isLeader(),
                        instances.get(1).isLeader(),
                        instances.get(2).isLeader()),
                List.of(true, false, false));
        brokenLinks.addAll(Set.of("0-1", "0-2"));
        run(1_500);
        assertEquals(statusSeenBy(1, 0), Status.SUSPECT);
        assertFalse(instances.get(1).isLeader(), "expected a suspect instance to count as present");
        run(1_500);
        assertEquals(statusSeenBy(1, 0), Status.DEAD);
        assertTrue(
                instances.get(0).isLeader() && instances.get(1).isLeader(),
                "expected a leader on both sides of the partition");
        assertFalse(instances.get(2).isLeader());
        brokenLinks.clear();
        run(300);
        for (int i = 0; i < 3; i++) {
            assertEquals(statusSeenBy(i, 0), Status.ALIVE, "expected refutation after the partition");
            assertEquals(instances.get(i).isLeader(), i == 0);
        }
    }

    /** If one link is broken, the remaining instance relays refutations, so neither end stays dead for the other. */
    @Test
    public void oneBrokenLinkCausesNoPartition() {
        start();
        brokenLinks.add("0-1");
        run(10_000);
        assertTrue(instances.get(1).isPresent("a")
                && instances.get(0).isPresent("b")
                && instances.get(2).isLeader() == false);
    }

    @Test
    public void leavingInstanceIsNotSuspectedAndReturnsAfterRestart() {
        start();
        instances.get(0).leave(now);
        run(200);
        assertEquals(statusSeenBy(1, 0), Status.LEFT);
        assertTrue(instances.get(1).isLeader());
        instances.set(0, instance("a"));
        run(200);
        assertEquals(statusSeenBy(1, 0), Status.ALIVE);
        assertFalse(instances.get(1).isLeader());
        // With a clock that was set back its incarnation is smaller; it refutes the status of its earlier process.
        now -= 9_000;
        instances.set(0, instance("a"));
        now += 9_000;
        run(200);
        assertEquals(statusSeenBy(1, 0), Status.ALIVE);
        assertEquals(
                instances.get(0).incarnation(),
                instances.get(1).members().get(0).incarnation());
    }
}
