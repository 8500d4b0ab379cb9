package peppergauge.lab.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.log.Log;

public class LabTest {

    private static final Path ROOT = Path.of("..");

    private record Outcome(int code, String out, String err) {}

    private static Outcome run(String line) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int code = Lab.run(
                new PrintWriter(out, true),
                new PrintWriter(err, true),
                line.isEmpty() ? new String[0] : line.split(" "));
        return new Outcome(code, out.toString(), err.toString());
    }

    /** The log sink is global: a run that does not restore it would silence all later log lines of the process. */
    @Test
    public void restoresLogSinkAfterEmulatedRun() {
        StringBuffer logged = new StringBuffer();
        Log.Sink previousSink = Log.setSink((kind, text, suppressed) -> logged.append(text));
        try {
            run("emulate ../scenarios/calm.toml --length 0.1");
            Log.line("after a run", "still logged");
        } finally {
            Log.setSink(previousSink);
        }
        assertTrue(logged.toString().contains("still logged"), logged.toString());
    }

    @DataProvider
    public Object[][] commandLines() {
        return new Object[][] {
            {"--help", 0, "Reads operator files and does nothing else", ""},
            {"--version", 0, "peppergauge ", ""},
            {"help check", 0, "Usage: peppergauge check", ""},
            {"check ../deploy/examples/scenario.toml", 0, "scenario.toml: fine, kind scenario", ""},
            {"check ../deploy/examples/thrift.toml", 0, "thrift.toml: fine, kind thrift", ""},
            {"schema scenario", 0, "kind = \"scenario\"", ""},
            {"", 2, "", "a command is missing"},
            {"chek", 2, "", "Did you mean: peppergauge check"},
            {"check", 2, "", "Missing required parameter: 'FILE'"},
            {"check ../deploy/balancer.toml", 2, "", "balancer.toml:1:1: kind: is missing"},
            {"check ../nowhere ../deploy/examples/scenario.toml", 2, "fine", "../nowhere: cannot be read"},
            {"emulate ../scenarios/calm.toml --length 1", 0, "digest: ", ""},
            {"emulate ../scenarios/calm.toml --length 1 --seeds 3..6", 0, "failing seeds: none", ""},
            {"emulate ../scenarios/calm.toml --seeds 6..3", 2, "", "is not a range of seeds"},
            {"soak --seeds 6..3", 2, "", "is not a range of seeds"},
            {"soak --seed 1", 2, "", "Unknown option"},
            {"soak --file src/test/resources/soak-unusable.toml", 2, "", "step.what"},
            {"emulate ../scenarios/calm.toml --seed 1 --seeds 3..6", 2, "", "mutually exclusive"},
            {"emulate ../scenarios/calm.toml --length 1000", 2, "", "--length must be"},
            {"emulate ../deploy/balancer.toml", 2, "", "balancer.toml:1:1: kind: is missing"},
            {"emulate src/test/resources/breaks.toml", 3, "digest: ", "rule answer broken, seed 1, at "},
            {"emulate src/test/resources/breaks.toml --seeds 1..3", 3, "failing seeds: 1, 2, 3", ""},
            {"shrink src/test/resources/breaks.toml", 3, "kind = \"scenario\"", "still breaks answer"},
            {"shrink ../deploy/examples/scenario.toml", 0, "", "breaks no rule with seed 1"},
            {"schema zz", 2, "", "unknown kind zz; known: scenario, daemon, nomad, thrift, sidecar"},
            {"check ../deploy/examples/fleet.toml", 0, "fleet.toml: fine, kind fleet", ""},
            {"check ../deploy/examples/daemon.toml", 0, "daemon.toml: fine, kind daemon", ""},
            {"daemon", 2, "", "start it with bin/peppergauge daemon"},
            {"plugin", 2, "", "a command is missing"},
            {"plugin check ../plugin/examples/allow-list.wasm -c config -c counters", 0, "fine, ABI 1", ""},
            {"plugin check ../plugin/examples/allow-list.wasm -c config", 2, "", "needs the capability counters"},
            {"plugin check ../deploy/balancer.toml", 2, "", "not a valid WebAssembly module"},
            {
                "plugin run ../plugin/examples/allow-list.wasm -s acme=1 --sessions ../plugin/examples/sessions.jsonl",
                0,
                "deny, tenant is not expected",
                ""
            },
            {"plugin run ../plugin/examples/allow-list.wasm --sessions ../nowhere", 2, "", "../nowhere"},
            {"plugin bench ../plugin/examples/commuter-tag.wasm --calls 2000", 0, "calls/s", ""},
            {"plugin build ../plugin/examples/allow-list.wat -o target/allow-list.wasm", 0, "272 bytes", ""},
            {"plugin build ../deploy/balancer.toml -o target/none.wasm", 2, "", "expected exactly one (module"},
            {"status", 2, "", "Missing required"},
            {"status --socket target/nowhere.sock", 1, "", "the admin request failed"},
            {"schema sidecar", 0, "[snapshot]", ""},
            {"serve-with ../deploy/examples/scenario.toml", 2, "", "is not a valid file of kind sidecar"},
            {"snapshot", 2, "", "show or verify is missing"},
            {"snapshot verify ../nowhere", 2, "", "../nowhere: there is no such file"},
            {"snapshot show ../README.md", 2, "", "../README.md: it is no snapshot"},
            {"serve", 2, "", "start it with bin/peppergauge serve"},
        };
    }

    @Test(dataProvider = "commandLines")
    public void commandLineEndsWithExitCodeAndOutput(String line, int code, String out, String err) {
        Outcome outcome = run(line);
        assertEquals(outcome.code(), code, outcome.err());
        assertTrue(outcome.out().contains(out), outcome.out());
        assertTrue(outcome.err().contains(err), outcome.err());
    }

    @DataProvider
    public Object[][] commands() {
        return run("--help")
                .out()
                .lines()
                .filter(line -> line.matches("  [a-z-]+ +[A-Z].*"))
                .map(line -> new Object[] {line.trim().split(" ")[0]})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "commands")
    public void commandHasHelpWithExitCodesAndDocumentation(String command) throws IOException {
        Outcome outcome = run(command + " --help");
        assertEquals(outcome.code(), 0);
        assertTrue(outcome.out().contains("Exit codes:"), outcome.out());
        assertTrue(Files.readString(ROOT.resolve("docs/COMMANDS.md")).contains("| `" + command), command);
    }

    /** The page and the examples are generated from the schemas, and would otherwise differ from what is parsed. */
    @Test
    public void operatorFilePageAndExamplesMatchSchemaOutput() throws IOException {
        String page = Files.readString(ROOT.resolve("docs/OPERATOR-FILES.md"));
        assertEquals(
                page.substring(page.indexOf("## `kind")),
                run("schema --markdown").out());
        try (var examples = Files.list(ROOT.resolve("deploy/examples"))) {
            for (Path example : examples.toList()) {
                String kind = example.getFileName().toString().replace(".toml", "");
                assertEquals(Files.readString(example), run("schema " + kind).out());
            }
        }
    }
}
