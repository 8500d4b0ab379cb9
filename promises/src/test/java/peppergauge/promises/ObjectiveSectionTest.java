package peppergauge.promises;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.operator.FileKind;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.ReadResult;
import peppergauge.promises.file.ObjectiveRegistry;
import peppergauge.promises.file.ObjectiveSection;

/** Contracts as operators write them, and what is said of wrong ones. */
public class ObjectiveSectionTest {

    private static final String GOOD = promise("city-fm", "save", "zones = ['north', 'bay']");

    private static String promise(String station, String kind, String more) {
        return "[[promise]]\nstation = '" + station + "'\nclass = '" + kind + "'\nshare = 0.95\nwithin = '500 ms'\n"
                + more + "\n";
    }

    private static ReadResult read(String text) {
        return new OperatorFiles(List.of(new FileKind("daemon", "For the test.", List.of(new ObjectiveSection()))))
                .read("contracts.toml", "kind = 'daemon'\n" + text);
    }

    @DataProvider
    public Object[][] wrong() {
        return new Object[][] {
            {promise("a", "save", "share = 0.9"), "contracts.toml:7"},
            {promise("a", "save", "penalty = 0"), "contracts.toml:7:1: promise.penalty: must be a number from"},
            {promise("a", "save", "windows = ['1 h', '10 min']"), "promise.windows: must be in ascending order"},
            {promise("a", "save", "windows = []"), "promise.windows: must be a list of 1 to 3"},
            {promise("a", "save", "zone = 'north'"), "promise.zone: is unknown; did you mean zones?"},
            {promise("a", "save", "").replace("0.95", "1.0"), "promise.share: must be a number from 0.5 to 0.9999"},
            {
                GOOD + promise("city-fm", "save", ""),
                "contradicts the promise at contracts.toml:2:1: city-fm / save may have only one"
            },
            {
                GOOD + promise("city-fm", "list", "zones = ['hill']"),
                "promise.zones: contradicts another promise of city-fm: no data centre is left"
            },
        };
    }

    @Test(dataProvider = "wrong")
    public void whatIsWrongIsNamedWithItsPlaceAndTheOldContractsStay(String text, String problem) {
        ObjectiveRegistry book = new ObjectiveRegistry();
        assertTrue(book.update(read(GOOD)).isEmpty());
        List<ServiceLevelObjective> before = book.objectives();
        String problems = book.update(read(text)).toString();
        assertTrue(problems.contains(problem), problems);
        assertEquals(book.objectives(), before);
        assertEquals(before.size(), 1);
    }

    @Test
    public void aContractSaysWhatItsTableSaysAndReadsBack() {
        ObjectiveRegistry book = new ObjectiveRegistry();
        assertEquals(
                book.update(read(GOOD + promise("harbour \\ x", "list", ""))).toString(), "[]");
        assertEquals(
                book.objectives().get(0),
                new ServiceLevelObjective(
                        "city-fm", "save", 0.95, 500, List.of(600_000L, 3_600_000L), 1, List.of("north", "bay")));
        ObjectiveRegistry again = new ObjectiveRegistry();
        again.update(read(ObjectiveSection.toToml(book.objectives().get(0))
                + ObjectiveSection.toToml(book.objectives().get(1))));
        assertEquals(again.objectives(), book.objectives());
    }
}
