package peppergauge.nomad;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.membership.ReportedEndpoint;
import peppergauge.nomad.api.BoundedJsonReader;
import peppergauge.nomad.api.ResponseLimits;
import peppergauge.nomad.model.Allocation;
import peppergauge.nomad.model.AttributeMapping;
import peppergauge.nomad.model.CheckResults;
import peppergauge.nomad.model.Node;
import peppergauge.nomad.model.Registration;
import peppergauge.nomad.model.ServiceModel;

public class ServiceModelTest {

    private static final BoundedJsonReader JSON = new BoundedJsonReader(new ResponseLimits(100_000, 32, 100));
    private static final AttributeMapping MAPPING = new AttributeMapping(
            Optional.of("tag:zone="),
            Optional.of("node-meta:cell"),
            Optional.of("datacenter"),
            Optional.of("tag:weight="),
            List.of("z0", "z1"));

    private static Object json(String text) {
        return JSON.read(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8), false);
    }

    private static Registration registration(String id, String address, int port, int index, String tag) {
        return Registration.of(json("{'ID':'" + id + "','AllocID':'a','NodeID':'n','JobID':'j','Datacenter':'dc',"
                + "'Address':'" + address + "','Port':" + port + ",'ModifyIndex':" + index + ",'Tags':['" + tag
                + "'],'Job':{'deep':[1,2]}}"));
    }

    @DataProvider
    public Object[][] conditions() {
        return new Object[][] {
            {"{'ID':'a','DesiredStatus':'run','ClientStatus':'running'}", "{'ID':'n'}", "READY "},
            {
                "{'ID':'a','DesiredStatus':'stop','ClientStatus':'running'}",
                "{'ID':'n'}",
                "DRAINING its allocation is to stop"
            },
            {"{'ID':'a','DesiredStatus':'evict'}", "{'ID':'n'}", "DRAINING its allocation is to evict"},
            {"{'ID':'a','DesiredTransition':{'Migrate':true}}", "{'ID':'n'}", "DRAINING its allocation is to migrate"},
            {"{'ID':'a','ClientStatus':'complete'}", "{'ID':'n'}", "DRAINING its allocation is complete"},
            {"{'ID':'a','ClientStatus':'lost'}", "{'ID':'n'}", "DRAINING its allocation is lost"},
            {"{'ID':'a','ClientStatus':'pending'}", "{'ID':'n'}", "READY "},
            {"{'ID':'a','ClientStatus':'unknown'}", "{'ID':'n'}", "SUSPECT its allocation's client is out of reach"},
            {
                "{'ID':'a','DeploymentStatus':{'Healthy':false}}",
                "{'ID':'n'}",
                "SUSPECT its deployment calls it unhealthy"
            },
            {"{'ID':'a','DeploymentStatus':{'Healthy':null}}", "{'ID':'n'}", "READY "},
            {"{'ID':'a'}", "{'ID':'n','SchedulingEligibility':'ineligible'}", "DRAINING its node is not eligible"},
            {"{'ID':'a'}", "{'ID':'n','DrainStrategy':{'Deadline':1}}", "DRAINING its node drains"},
            {"{'ID':'a'}", "{'ID':'n','DrainStrategy':null,'Drain':false}", "READY "},
            {"{'ID':'a'}", "{'ID':'n','Status':'down'}", "SUSPECT its node is down"},
            {"{'ID':'a','ClientStatus':7,'DesiredTransition':[]}", "{'ID':'n','Meta':3}", "READY "},
        };
    }

    @Test(dataProvider = "conditions")
    public void reportsStatusAndReason(String allocation, String node, String expected) {
        ServiceModel model = new ServiceModel(MAPPING, true, 100);
        model.onList(0, List.of(registration("r", "10.0.0.1", 80, 5, "zone=z1")));
        model.onAllocation(0, Allocation.of(json(allocation)));
        model.onNode(0, Node.of(json(node)));
        ReportedEndpoint reported = model.servers(0).get(0);
        assertEquals(reported.status() + " " + reported.statusReason(), expected);
    }

    @Test
    public void readsMappedAttributesAndWaitsForNode() {
        ServiceModel model = new ServiceModel(MAPPING, true, 100);
        model.onList(0, List.of(registration("r", "::1", 80, 5, "zone=z1")));
        assertEquals(model.servers(0).size(), 0);
        assertEquals(model.servers(2_500).size(), 1);
        model.onNode(0, Node.of(json("{'ID':'n','Meta':{'cell':'7','free':'x'}}")));
        ReportedEndpoint reported = model.servers(0).get(0);
        assertEquals(
                reported.address() + " " + reported.endpoint().zone() + " "
                        + reported.endpoint().cell(),
                "[::1]:80 1 7");
        assertEquals(model.describe("r"), "kind dc");
        model.onList(0, List.of(registration("r", "::1", 80, 6, "weight=0")));
        assertEquals(model.servers(0).get(0).statusReason(), "its weight is 0");
    }

    @Test
    public void keepsNewerOfTwoRegistrationsWithSameAddressOrId() {
        ServiceModel model = new ServiceModel(MAPPING, true, 100);
        model.onList(
                0,
                List.of(
                        registration("old", "h", 80, 5, ""),
                        registration("new", "h", 80, 9, ""),
                        registration("old", "h", 80, 5, ""),
                        registration("twice", "h", 82, 7, ""),
                        registration("twice", "h", 81, 6, "")));
        assertEquals(
                model.servers(9_999).stream()
                        .map(reported -> reported.endpoint().server() + " " + reported.address())
                        .toList(),
                List.of("new h:80", "twice h:82"));
    }

    @Test
    public void ignoresOlderAllocationAndReportsMissingDrainingServer() {
        ServiceModel model = new ServiceModel(MAPPING, true, 100);
        model.onList(0, List.of(registration("r", "h", 80, 5, "")));
        model.onAllocation(0, Allocation.of(json("{'ID':'a','DesiredStatus':'stop','ModifyIndex':9}")));
        assertEquals(
                model.onAllocation(0, Allocation.of(json("{'ID':'a','DesiredStatus':'run','ModifyIndex':8}"))), false);
        model.onList(0, List.of());
        assertEquals(model.affected(0, each -> each.allocation().equals("a")).size(), 1);
    }

    private static final double HOUR_MS = 3_600_000;

    /**
     * Rows of: description, whether the server is of the first list, start of its task, expected start. Times in ms
     * relative to the list; an expected start of 0 is absolute, and NaN stands for the time of the list.
     */
    @DataProvider
    public Object[][] startTimes() {
        return new Object[][] {
            {"in the first list, started long before", true, -HOUR_MS, 0},
            {"in the first list, started just before", true, -2_000, -2_000},
            {"in the first list, restarted since", true, 4_000, 4_000},
            {"in a later list, started before it was listed", false, -1_500, -1_500},
            {"in a later list, restarted since", false, 4_000, 4_000},
            {"start in the future", false, 2 * HOUR_MS, Double.NaN},
        };
    }

    @Test(dataProvider = "startTimes")
    public void usesStartTimeOfTask(String description, boolean isFirstList, double startedMs, double expectedMs) {
        double listedMs = 10 * HOUR_MS;
        ServiceModel model = new ServiceModel(MAPPING, true, 100);
        if (!isFirstList) {
            model.onList(listedMs - 60_000, List.of());
        }
        model.onList(listedMs, List.of(registration("r", "10.0.0.1", 80, 5, "zone=z1")));
        String startedAt =
                java.time.Instant.ofEpochMilli((long) (listedMs + startedMs)).toString();
        model.onAllocation(
                listedMs + 5_000,
                Allocation.of(json("{'ID':'a','TaskStates':{'web':{'State':'running'," + "'StartedAt':'" + startedAt
                        + "','Events':[{'Type':'Started'}]},'odd':{'StartedAt':'never'},'none':7}}")));
        double reportedMs = model.servers(listedMs + 9_999).get(0).endpoint().startedMs();
        assertEquals(
                reportedMs,
                Double.isNaN(expectedMs) ? listedMs : expectedMs == 0 ? 0 : listedMs + expectedMs,
                description);
    }

    /** A server that was deregistered by an event and is registered again must have restarted. */
    @Test
    public void serverRegisteredAgainHasNewStartTime() {
        ServiceModel model = new ServiceModel(MAPPING, true, 100);
        Registration registration = registration("r", "10.0.0.1", 80, 5, "zone=z1");
        model.onList(0, List.of(registration));
        model.onDeregistered("r");
        model.onRegistered(70_000, registration);
        assertEquals(model.servers(80_000).get(0).endpoint().startedMs(), 70_000.0);
    }

    @Test
    public void onlyFailingCheckOfThisServiceMakesServerUnhealthy() {
        assertEquals(
                CheckResults.of(Map.of("1", Map.of("Check", "up", "Status", "failure", "Service", "s")), "s")
                        .unhealthyReason(),
                "its check up fails");
        assertEquals(
                CheckResults.of(
                                Map.of(
                                        "1",
                                        Map.of("Status", "failure", "Service", "other"),
                                        "2",
                                        Map.of("Status", "pending")),
                                "s")
                        .unhealthyReason(),
                "");
    }
}
