package peppergauge.lab.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.ScriptedServer;
import peppergauge.lab.process.ManagedProcess.Signal;

/** Runs a shell that repeats its input, with several starts. */
public class ManagedProcessTest {

    private static final long TIMEOUT_MS = 20_000;

    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private Path done;
    private ManagedProcess program;

    @BeforeMethod
    public void start() throws IOException {
        lines.clear();
        done = Files.createTempFile("done", "");
        program = new ManagedProcess("shell", Files.createTempDirectory("program"), Optional.of(lines::add));
        startProgram();
    }

    private void startProgram() throws IOException {
        String script = "echo \"$WORD\"; while read x; do echo \"$x\"; echo \"$x\" >\"$DONE\"; done";
        program.start(new ManagedProcess.Command(
                List.of("/bin/sh", "-c", script), Path.of("/"), Map.of("WORD", "from {dir}", "DONE", done.toString())));
    }

    @AfterMethod
    public void end() throws IOException {
        program.close();
        Files.delete(done);
    }

    private String nextLine() throws InterruptedException {
        return lines.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Test
    public void readsAllOutputOfKilledProcess() throws Exception {
        assertEquals(nextLine(), "from " + program.dataDirectory());
        for (int i = 0; i < 1_000; i++) {
            program.writeLine("line " + i);
        }
        while (!nextLine().equals("line 999")) {
            // Reads the remaining lines.
        }
        program.writeLine("last");
        ScriptedServer.await(
                "last line written to the file",
                TIMEOUT_MS / 1e3,
                () -> Files.readString(done).equals("last\n"));
        program.signal(Signal.KILL);
        assertTrue(program.awaitEnd(TIMEOUT_MS));
        assertFalse(program.isAlive());
        assertEquals(nextLine(), "last");
        program.writeLine("to nobody");
        startProgram();
        assertEquals(nextLine(), "from " + program.dataDirectory());
        assertTrue(program.isAlive());
    }

    @Test
    public void pausedProcessWritesNothingUntilResumed() throws Exception {
        nextLine();
        program.signal(Signal.STOP);
        program.writeLine("held");
        assertEquals(lines.poll(150, TimeUnit.MILLISECONDS), null);
        program.signal(Signal.CONT);
        assertEquals(nextLine(), "held");
    }

    @Test
    public void keepsCorruptsOrDeletesFiles() throws Exception {
        Path old = Files.writeString(program.dataDirectory().resolve("old"), "0123456789".repeat(10));
        Path torn = Files.writeString(
                Files.createDirectories(program.dataDirectory().resolve("in")).resolve("new"), "0123456789".repeat(10));
        assertTrue(old.toFile().setLastModified(1_000_000));
        program.corruptNewestFile();
        assertEquals(Files.readString(old).length(), 100);
        assertEquals(Files.size(torn), 77);
        assertEquals(
                new String(Files.readAllBytes(torn), java.nio.charset.StandardCharsets.ISO_8859_1).substring(0, 70),
                "0123456789".repeat(7));
        assertEquals(Files.readAllBytes(torn)[76], (byte) 0xfc);
        program.deleteFiles();
        assertFalse(Files.exists(old) || Files.exists(torn));
    }
}
