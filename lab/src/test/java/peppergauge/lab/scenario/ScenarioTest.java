package peppergauge.lab.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.operator.ReadResult;

public class ScenarioTest {

    private static final String FILE = """
            kind = "scenario"
            [run]
            length = "20 s"
            [network]
            zones = ["north", "south"]
            [[servers]]
            name = "gen-a"
            count = 3
            [[class]]
            name = "list"
            work = "80 ms"
            aim = "400 ms"
            deadline = "2 s"
            [[tenant]]
            name = "station"
            [clients]
            rate = 100
            [sidecars]
            [[at]]
            """;

    private static ReadResult read(String text) {
        return OperatorFileKinds.all().read("s.toml", text);
    }

    @DataProvider
    public Object[][] entries() {
        return new Object[][] {
            {"what = 'pause'\ntarget = 'gen-a'", ""},
            {"what = 'pause'\ntarget = 'gen-a-3'", ""},
            {"what = 'pause'\ntarget = 'zone:north'", ""},
            {"what = 'pause'\ntarget = 'share:0.5'", ""},
            {"what = 'sidecar-pause'\ntarget = 'sidecar-3'", ""},
            {"what = 'sidecar-pause'\ntarget = 'sidecars:0.5'", ""},
            {"what = 'burst'\ntarget = 'tenant:station'\nsize = 3", ""},
            {"what = 'heavy-tail'\ntarget = 'class:list'\nsize = 3\npart = 0.1", ""},
            {"what = 'pause'\ntarget = 'gen-a-4'", "s.toml:22:1: at.target: \"gen-a-4\" names nothing"},
            {"what = 'pause'\ntarget = 'gen-b'", "at.target: \"gen-b\" names nothing"},
            {"what = 'pause'\ntarget = 'zone:nort'", "at.target: \"zone:nort\" names nothing"},
            {"what = 'pause'\ntarget = 'share:1.5'", "at.target: \"share:1.5\" names nothing"},
            {"what = 'pause'\ntarget = 'sidecar-1'", "at.target: must be all, zone:NAME, share:NUMBER"},
            {"what = 'sidecar-crash'\ntarget = 'sidecar-4'", "names nothing"},
            {"what = 'burst'\ntarget = 'tenant:other'\nsize = 3", "names nothing"},
            {"what = 'cut'", "at.target: must be zone:NAME"},
            {"what = 'slow'", "at.size: must be from 1.0 to 1000.0 for slow: how many times slower"},
            {"what = 'slow'\nsize = 0.5", "at.size: must be from 1.0"},
            {"what = 'pause'\nsize = 2", "at.size: means nothing for pause"},
            {"what = 'fast-errors'\npart = 2", "at.part: must be a number from 0 to 1"},
            {"what = 'paus'", "did you mean pause?"},
            {"what = 'pause'\nlenght = '1 s'", "at.lenght: is unknown; did you mean length?"},
        };
    }

    @Test(dataProvider = "entries")
    public void reportsInvalidEntryWithItsLocation(String entry, String problem) {
        ReadResult result = read(FILE + "time = '1 s'\n" + entry + "\n");
        assertEquals(
                result.values().isPresent(),
                problem.isEmpty(),
                result.problems().toString());
        assertTrue(
                result.problems().toString().contains(problem),
                result.problems().toString());
    }

    @Test
    public void scenarioIsReadAsItWasWritten() {
        Scenario scenario = Scenario.read(read(FILE + "time = '1.5 s'\nwhat = 'slow'\nsize = 2.5\nlength = '3 s'\n")
                .values()
                .orElseThrow());
        ReadResult again = read(scenario.toToml());
        assertEquals(again.problems().toString(), "[]");
        assertEquals(Scenario.read(again.values().orElseThrow()), scenario);
    }

    @DataProvider
    public Object[][] names() {
        return new Object[][] {
            {"gen-a", "servers.name: is taken"}, {"all", "servers.name: cannot be all"}, {"gen-b", ""},
        };
    }

    @Test(dataProvider = "names")
    public void rejectsDuplicateAndReservedNames(String name, String problem) {
        String text = FILE + "time = '1 s'\nwhat = 'pause'\n[[servers]]\nname = '" + name + "'\ncount = 1\n";
        String problems = read(text).problems().toString();
        assertEquals(problems.equals("[]"), problem.isEmpty(), problems);
        assertTrue(problems.contains(problem), problems);
    }

    @Test
    public void missingDiscoveryAndRulesHaveTheDefaultsOfTheirTables() {
        Scenario withoutTables = Scenario.read(
                read(FILE + "time = '1 s'\nwhat = 'pause'\n").values().orElseThrow());
        Scenario withTables = Scenario.read(read(FILE + "time = '1 s'\nwhat = 'pause'\n[discovery]\n[rules]\n")
                .values()
                .orElseThrow());
        assertEquals(withTables, withoutTables);
    }
}
