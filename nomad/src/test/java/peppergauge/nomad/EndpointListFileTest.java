package peppergauge.nomad;

import static org.testng.Assert.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.request.EndpointUpdate.EndpointAddress;

/** Reads an endpoint list that revision e30269d wrote, so that stored lists stay readable. It has no server kind. */
public class EndpointListFileTest {

    private static final Path STORED_LIST = Path.of("src/test/resources/stored/last-table.json");

    @Test
    public void readsListOfEarlierVersion() {
        assertEquals(
                new EndpointListFile(STORED_LIST, null).read(),
                List.of(
                        new EndpointAddress(
                                new Endpoint("alloc-1", 0, 2, EndpointState.READY, 1_780_000_000_123.5),
                                "10.0.0.1:8080"),
                        new EndpointAddress(
                                new Endpoint("alloc-2", 1, 0, EndpointState.DRAINING, 0), "10.0.0.2:8081")));
    }
}
