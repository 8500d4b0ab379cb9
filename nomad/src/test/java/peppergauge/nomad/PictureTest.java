package peppergauge.nomad;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.membership.ReportedEndpoint;
import peppergauge.nomad.picture.Allocation;
import peppergauge.nomad.picture.Checks;
import peppergauge.nomad.picture.Mapping;
import peppergauge.nomad.picture.Node;
import peppergauge.nomad.picture.Picture;
import peppergauge.nomad.picture.Registration;
import peppergauge.nomad.wire.Bounds;
import peppergauge.nomad.wire.Json;

public class PictureTest {

    private static final Json JSON = new Json(new Bounds(100_000, 32, 100));
    private static final Mapping MAPPING = new Mapping(
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
    public Object[][] facts() {
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

    @Test(dataProvider = "facts")
    public void eachFactHasItsSign(String allocation, String node, String expected) {
        Picture picture = new Picture(MAPPING, true, 100);
        picture.listed(0, List.of(registration("r", "10.0.0.1", 80, 5, "zone=z1")));
        picture.allocation(0, Allocation.of(json(allocation)));
        picture.node(0, Node.of(json(node)));
        ReportedEndpoint told = picture.servers(0).get(0);
        assertEquals(told.status() + " " + told.statusReason(), expected);
    }

    @Test
    public void theMappingIsReadAndTheNodeWaitedFor() {
        Picture picture = new Picture(MAPPING, true, 100);
        picture.listed(0, List.of(registration("r", "::1", 80, 5, "zone=z1")));
        assertEquals(picture.servers(0).size(), 0);
        assertEquals(picture.servers(2_500).size(), 1);
        picture.node(0, Node.of(json("{'ID':'n','Meta':{'cell':'7','free':'x'}}")));
        ReportedEndpoint told = picture.servers(0).get(0);
        assertEquals(
                told.address() + " " + told.endpoint().zone() + " "
                        + told.endpoint().cell(),
                "[::1]:80 1 7");
        assertEquals(picture.describe("r"), "kind dc");
        picture.listed(0, List.of(registration("r", "::1", 80, 6, "weight=0")));
        assertEquals(picture.servers(0).get(0).statusReason(), "its weight is 0");
    }

    @Test
    public void ofTwoAtOnePlaceOrUnderOneIdTheNewerHolds() {
        Picture picture = new Picture(MAPPING, true, 100);
        picture.listed(
                0,
                List.of(
                        registration("old", "h", 80, 5, ""),
                        registration("new", "h", 80, 9, ""),
                        registration("old", "h", 80, 5, ""),
                        registration("twice", "h", 82, 7, ""),
                        registration("twice", "h", 81, 6, "")));
        assertEquals(
                picture.servers(9_999).stream()
                        .map(told -> told.endpoint().server() + " " + told.address())
                        .toList(),
                List.of("new h:80", "twice h:82"));
    }

    @Test
    public void anOlderWordOnAnAllocationChangesNothingAndAMissingServerStillLeaves() {
        Picture picture = new Picture(MAPPING, true, 100);
        picture.listed(0, List.of(registration("r", "h", 80, 5, "")));
        picture.allocation(0, Allocation.of(json("{'ID':'a','DesiredStatus':'stop','ModifyIndex':9}")));
        assertEquals(
                picture.allocation(0, Allocation.of(json("{'ID':'a','DesiredStatus':'run','ModifyIndex':8}"))), false);
        picture.listed(0, List.of());
        assertEquals(picture.affected(0, each -> each.allocation().equals("a")).size(), 1);
    }

    private static final double HOUR_MS = 3_600_000;

    /** Times in ms after 10 h: listed first, the task's start, what counts; 0 is long ago. */
    @DataProvider
    public Object[][] starts() {
        return new Object[][] {
            {"of the first list, started long before", true, -HOUR_MS, 0},
            {"of the first list, started just before", true, -2_000, -2_000},
            {"of the first list, started again since", true, 4_000, 4_000},
            {"came later, started before it was told", false, -1_500, -1_500},
            {"came later, started again since", false, 4_000, 4_000},
            {"a start in the future", false, 2 * HOUR_MS, Double.NaN},
        };
    }

    @Test(dataProvider = "starts")
    public void aStartIsWhatTheTaskTells(String about, boolean first, double startedMs, double expectedMs) {
        double zero = 10 * HOUR_MS;
        Picture picture = new Picture(MAPPING, true, 100);
        if (!first) {
            picture.listed(zero - 60_000, List.of());
        }
        picture.listed(zero, List.of(registration("r", "10.0.0.1", 80, 5, "zone=z1")));
        String at = java.time.Instant.ofEpochMilli((long) (zero + startedMs)).toString();
        picture.allocation(
                zero + 5_000,
                Allocation.of(json("{'ID':'a','TaskStates':{'web':{'State':'running'," + "'StartedAt':'" + at
                        + "','Events':[{'Type':'Started'}]},'odd':{'StartedAt':'never'},'none':7}}")));
        double known = picture.servers(zero + 9_999).get(0).endpoint().startedMs();
        assertEquals(known, Double.isNaN(expectedMs) ? zero : expectedMs == 0 ? 0 : zero + expectedMs, about);
    }

    /** An event says that a registration is gone: what is there under its name afterwards has started since. */
    @Test
    public void whatIsRegisteredAgainHasStartedAgain() {
        Picture picture = new Picture(MAPPING, true, 100);
        Registration one = registration("r", "10.0.0.1", 80, 5, "zone=z1");
        picture.listed(0, List.of(one));
        picture.deregistered("r");
        picture.registered(70_000, one);
        assertEquals(picture.servers(80_000).get(0).endpoint().startedMs(), 70_000.0);
    }

    @Test
    public void onlyAFailingCheckOfThisServiceSpeaksAgainstIt() {
        assertEquals(
                Checks.of(Map.of("1", Map.of("Check", "up", "Status", "failure", "Service", "s")), "s")
                        .ill(),
                "its check up fails");
        assertEquals(
                Checks.of(
                                Map.of(
                                        "1",
                                        Map.of("Status", "failure", "Service", "other"),
                                        "2",
                                        Map.of("Status", "pending")),
                                "s")
                        .ill(),
                "");
    }
}
