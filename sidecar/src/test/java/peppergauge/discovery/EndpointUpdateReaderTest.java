package peppergauge.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.request.EndpointUpdate;
import peppergauge.settings.JsonTree;

public class EndpointUpdateReaderTest {

    private static EndpointUpdate read(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new EndpointUpdateReader(List.of("north", "bay")).read(JsonTree.parse(bytes, 0, bytes.length));
    }

    @DataProvider
    public Object[][] endpoints() {
        String endpoint = "{'id':'s','addr':'h:1','zone':'bay','cell':3,'state':'active','weight':1.0,'started_ms':5}";
        return new Object[][] {
            {endpoint, "s zone 1 cell 3 READY from 5 at h:1"},
            {endpoint.replace("active", "leaving"), "s zone 1 cell 3 DRAINING from 5 at h:1"},
            {"{'id':'s','state':'left'}", "s zone -1 cell 0 REMOVED from 0 at null"},
            {endpoint.replace("'bay'", "'unknown'").replace("'cell':3,", ""), "s zone -1 cell 0 READY from 5 at h:1"},
            {endpoint.replace("'bay'", "0"), "s zone 0 cell 3 READY from 5 at h:1"},
        };
    }

    @Test(dataProvider = "endpoints")
    public void readsEndpoint(String endpoint, String expected) {
        EndpointUpdate update = read(("{'version':41,'full':true,'servers':[" + endpoint + "]}").replace('\'', '"'));
        EndpointUpdate.EndpointAddress read = update.endpoints().get(0);
        assertEquals(
                read.endpoint().server() + " zone " + read.endpoint().zone() + " cell "
                        + read.endpoint().cell() + " " + read.endpoint().state() + " from "
                        + (long) read.endpoint().startedMs() + " at " + read.address(),
                expected);
        assertEquals(update.version(), 41);
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {"{'version':1}", "no list 'servers'"},
            {"{'servers':[", "not valid JSON"},
            {"[]", "not a JSON object"},
            {"{} {}", "more than one"},
            {"", "not a JSON object"},
        };
    }

    @Test(dataProvider = "malformed")
    public void rejectsMalformedUpdateWithReason(String text, String reason) {
        String message = expectThrows(IllegalArgumentException.class, () -> read(text.replace('\'', '"')))
                .getMessage();
        assertEquals(message.contains(reason), true, message);
    }

    @DataProvider
    public Object[][] malformedEndpoints() {
        return new Object[][] {
            {"1"},
            {"{}"},
            {"{'id':'s','state':'odd','addr':'h:1'}"},
            {"{'id':'s','state':'active'}"},
            {"null"},
            {"{'id':'s','state':'active','addr':'h'}"},
            {"{'id':'s','state':'active','addr':'h:0'}"},
            {"{'id':'s','state':'active','addr':'h:x'}"},
            {"{'id':'s','state':'active','addr':'a@h:1'}"},
        };
    }

    @Test(dataProvider = "malformedEndpoints")
    public void skipsMalformedEndpointAndReadsOthers(String endpoint) {
        String text = "{'servers':[" + endpoint + ",{'id':'t','state':'leaving','addr':'h:2'}]}";
        List<EndpointUpdate.EndpointAddress> endpoints =
                read(text.replace('\'', '"')).endpoints();
        assertEquals(endpoints.size(), 1);
        assertEquals(endpoints.get(0).endpoint().server(), "t");
    }

    @Test
    public void serversOfSameKindShareKindNumber() {
        String prefix = "{'id':'s','addr':'h:1','state':'active','kind':";
        List<EndpointUpdate.EndpointAddress> endpoints = read(("{'servers':[" + prefix + "'gen-a'}," + prefix
                                + "'gen-b'}," + prefix + "'gen-a'}," + prefix + "2}]}")
                        .replace('\'', '"'))
                .endpoints();
        List<Integer> kinds =
                endpoints.stream().map(each -> each.endpoint().kind()).toList();
        assertEquals(kinds.get(0), kinds.get(2));
        assertEquals(Set.copyOf(kinds).size(), 3);
        assertEquals((int) kinds.get(3), 2);
    }
}
