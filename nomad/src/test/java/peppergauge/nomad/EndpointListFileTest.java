package peppergauge.nomad;

import static org.testng.Assert.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.request.EndpointUpdate.EndpointAddress;

/** The last table that the program of revision e30269d wrote reads to the same endpoints; it stores no kind. */
public class StoredTableTest {

    private static final Path STORED = Path.of("src/test/resources/stored/last-table.json");

    @Test
    public void aStoredTableReadsToItsEndpoints() {
        assertEquals(
                new EndpointListFile(STORED, null).read(),
                List.of(
                        new EndpointAddress(
                                new Endpoint("alloc-1", 0, 2, EndpointState.READY, 1_780_000_000_123.5),
                                "10.0.0.1:8080"),
                        new EndpointAddress(
                                new Endpoint("alloc-2", 1, 0, EndpointState.DRAINING, 0), "10.0.0.2:8081")));
    }
}
