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
    public Object[][] rows() {
        String row = "{'id':'s','addr':'h:1','zone':'bay','cell':3,'state':'active','weight':1.0,'started_ms':5}";
        return new Object[][] {
            {row, "s zone 1 cell 3 READY from 5 at h:1"},
            {row.replace("active", "leaving"), "s zone 1 cell 3 DRAINING from 5 at h:1"},
            {"{'id':'s','state':'left'}", "s zone -1 cell 0 REMOVED from 0 at null"},
            {row.replace("'bay'", "'unheard'").replace("'cell':3,", ""), "s zone -1 cell 0 READY from 5 at h:1"},
            {row.replace("'bay'", "0"), "s zone 0 cell 3 READY from 5 at h:1"},
        };
    }

    @Test(dataProvider = "rows")
    public void aRowIsRead(String row, String expected) {
        EndpointUpdate table = read(("{'version':41,'full':true,'servers':[" + row + "]}").replace('\'', '"'));
        EndpointUpdate.EndpointAddress read = table.endpoints().get(0);
        assertEquals(
                read.endpoint().server() + " zone " + read.endpoint().zone() + " cell "
                        + read.endpoint().cell() + " " + read.endpoint().state() + " from "
                        + (long) read.endpoint().startedMs() + " at " + read.address(),
                expected);
        assertEquals(table.version(), 41);
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
    public void whatIsMalformedIsNamed(String text, String why) {
        String message = expectThrows(IllegalArgumentException.class, () -> read(text.replace('\'', '"')))
                .getMessage();
        assertEquals(message.contains(why), true, message);
    }

    @DataProvider
    public Object[][] malformedRows() {
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

    @Test(dataProvider = "malformedRows")
    public void aMalformedRowIsPassedOverAndTheOthersAreRead(String row) {
        String text = "{'servers':[" + row + ",{'id':'t','state':'leaving','addr':'h:2'}]}";
        List<EndpointUpdate.EndpointAddress> rows =
                read(text.replace('\'', '"')).endpoints();
        assertEquals(rows.size(), 1);
        assertEquals(rows.get(0).endpoint().server(), "t");
    }

    @Test
    public void machinesOfOneKindShareANumberAndOthersDoNot() {
        String row = "{'id':'s','addr':'h:1','state':'active','kind':";
        List<EndpointUpdate.EndpointAddress> rows = read(("{'servers':[" + row + "'gen-a'}," + row + "'gen-b'}," + row
                                + "'gen-a'}," + row + "2}]}")
                        .replace('\'', '"'))
                .endpoints();
        List<Integer> kinds = rows.stream().map(each -> each.endpoint().kind()).toList();
        assertEquals(kinds.get(0), kinds.get(2));
        assertEquals(Set.copyOf(kinds).size(), 3);
        assertEquals((int) kinds.get(3), 2);
    }
}
