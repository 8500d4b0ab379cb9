package peppergauge.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;

public class EndpointListTest {

    private static final double HOUR_MS = 3_600_000;

    private double wallStepMs;

    private final List<String> released = new ArrayList<>();
    private final EndpointList endpoints = new EndpointList(
            new Backend() {
                @Override
                public Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
                    throw new IllegalStateException("unexpected attempt");
                }

                @Override
                public Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
                    throw new IllegalStateException("unexpected health check");
                }

                @Override
                public void onServerRemoved(Server server) {
                    released.add(server.id() + "@" + server.address());
                }
            },
            () -> wallStepMs);

    private static EndpointUpdate.EndpointAddress listed(String id, EndpointState state, String address) {
        return new EndpointUpdate.EndpointAddress(new Endpoint(id, 0, 0, state, 0), address);
    }

    private static EndpointUpdate.EndpointAddress started(String id, String address, double startedMs) {
        return new EndpointUpdate.EndpointAddress(new Endpoint(id, 0, 0, EndpointState.READY, startedMs), address);
    }

    private Set<String> apply(boolean complete, EndpointUpdate.EndpointAddress... listed) {
        EndpointList.Change change = endpoints.apply(new EndpointUpdate(1, complete, List.of(listed)));
        change.previous().values().forEach(endpoints::releaseIfRemoved);
        return change.leaving();
    }

    @Test
    public void partialUpdateKeepsUnmentionedServers() {
        apply(true, listed("a", EndpointState.READY, "h:1"), listed("b", EndpointState.READY, "h:2"));
        assertEquals(apply(false, listed("b", EndpointState.REMOVED, "h:2")), Set.of("b"));
        assertEquals(endpoints.find("a").address(), "h:1");
        assertNull(endpoints.find("b"));
        assertEquals(released, List.of("b@h:2"));
    }

    @Test(dependsOnMethods = "partialUpdateKeepsUnmentionedServers")
    public void serverAtNewAddressReplacesPreviousOne() {
        released.clear();
        assertEquals(apply(true, listed("a", EndpointState.READY, "h:3")), Set.of());
        assertEquals(released, List.of("a@h:1"));
        assertEquals(apply(true), Set.of("a"));
        assertEquals(released, List.of("a@h:1", "a@h:3"));
    }

    /** A new process at the address of an earlier one inherited its connections. */
    @Test(dependsOnMethods = "serverAtNewAddressReplacesPreviousOne", groups = "known-red")
    public void newProcessAtTheSameAddressReplacesThePreviousOne() {
        apply(true, started("a", "h:1", 1_000));
        released.clear();
        apply(true, started("a", "h:1", 1_000));
        apply(false, started("a", "h:1", 0));
        assertEquals(released, List.of(), "the same process, reported again and without its start");
        apply(false, started("a", "h:1", 2_000));
        assertEquals(released, List.of("a@h:1"));
    }

    /** After a step of the wall clock a cold server looked an hour old, or younger than nothing for an hour. */
    @Test(dependsOnMethods = "serverAtNewAddressReplacesPreviousOne")
    public void startReportedAfterAStepOfTheWallClockIsConverted() {
        apply(true, started("b", "h:1", 1_000));
        wallStepMs = HOUR_MS;
        List<Endpoint> afterStep = endpoints
                .apply(new EndpointUpdate(
                        2, true, List.of(started("b", "h:1", 1_000), started("c", "h:2", HOUR_MS + 3_000))))
                .endpoints();
        assertEquals(afterStep.get(0).startedMs(), 1_000.0, "a start that was reported before the step");
        assertEquals(afterStep.get(1).startedMs(), 3_000.0, "a start after the step");
        wallStepMs = 0;
    }
}
