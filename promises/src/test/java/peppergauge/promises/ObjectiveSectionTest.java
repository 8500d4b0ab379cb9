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

/** Tests reading objectives from operator files, and the problems reported for invalid ones. */
public class ObjectiveSectionTest {

    private static final String VALID = objective("city-fm", "save", "zones = ['north', 'bay']");

    private static String objective(String tenant, String requestClass, String more) {
        return "[[promise]]\nstation = '" + tenant + "'\nclass = '" + requestClass
                + "'\nshare = 0.95\nwithin = '500 ms'\n" + more + "\n";
    }

    private static ReadResult read(String text) {
        return new OperatorFiles(List.of(new FileKind("daemon", "For the test.", List.of(new ObjectiveSection()))))
                .read("objectives.toml", "kind = 'daemon'\n" + text);
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {objective("a", "save", "share = 0.9"), "objectives.toml:7"},
            {objective("a", "save", "penalty = 0"), "objectives.toml:7:1: promise.penalty: must be a number from"},
            {objective("a", "save", "windows = ['1 h', '10 min']"), "promise.windows: must be in ascending order"},
            {objective("a", "save", "windows = []"), "promise.windows: must be a list of 1 to 3"},
            {objective("a", "save", "zone = 'north'"), "promise.zone: is unknown; did you mean zones?"},
            {objective("a", "save", "").replace("0.95", "1.0"), "promise.share: must be a number from 0.5 to 0.9999"},
            {
                VALID + objective("city-fm", "save", ""),
                "contradicts the promise at objectives.toml:2:1: city-fm / save may have only one"
            },
            {
                VALID + objective("city-fm", "list", "zones = ['hill']"),
                "promise.zones: contradicts another promise of city-fm: no data centre is left"
            },
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void reportsProblemWithPositionAndKeepsPreviousObjectives(String text, String problem) {
        ObjectiveRegistry registry = new ObjectiveRegistry();
        assertTrue(registry.update(read(VALID)).isEmpty());
        List<ServiceLevelObjective> before = registry.objectives();
        String problems = registry.update(read(text)).toString();
        assertTrue(problems.contains(problem), problems);
        assertEquals(registry.objectives(), before);
        assertEquals(before.size(), 1);
    }

    @Test
    public void objectiveHasValuesOfItsTableAndReadsBackFromToml() {
        ObjectiveRegistry registry = new ObjectiveRegistry();
        assertEquals(
                registry.update(read(VALID + objective("harbour \\ x", "list", "")))
                        .toString(),
                "[]");
        assertEquals(
                registry.objectives().get(0),
                new ServiceLevelObjective(
                        "city-fm", "save", 0.95, 500, List.of(600_000L, 3_600_000L), 1, List.of("north", "bay")));
        ObjectiveRegistry readBack = new ObjectiveRegistry();
        readBack.update(read(ObjectiveSection.toToml(registry.objectives().get(0))
                + ObjectiveSection.toToml(registry.objectives().get(1))));
        assertEquals(readBack.objectives(), registry.objectives());
    }
}
