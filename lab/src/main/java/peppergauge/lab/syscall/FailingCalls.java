package peppergauge.lab.syscall;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.RandomAccessFile;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** The preloaded library that lets calls of one process fail, and the memory that switches it on and off. */
public final class FailingCalls implements Closeable {

    private static final String SOURCE = "failing_calls.c";
    private static final int CONTROL_BYTES = 24;
    private static final int ACTIVE_OFFSET = 0;
    private static final int FAILURES_OFFSET = 16;

    private final CallFault fault;
    private final Path folder;
    private final Path library;
    private final Path controlFile;
    private final MappedByteBuffer control;

    /**
     * Builds the library with the machine's C compiler.
     *
     * @throws IOException if there is no compiler, or it fails
     */
    public FailingCalls(CallFault fault) throws IOException, InterruptedException {
        this.fault = fault;
        folder = Files.createTempDirectory("failing-calls");
        library = folder.resolve("libfailing_calls.so");
        controlFile = folder.resolve("control");
        compile();
        try (RandomAccessFile file = new RandomAccessFile(controlFile.toFile(), "rw")) {
            file.setLength(CONTROL_BYTES);
            control = file.getChannel().map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
            control.order(ByteOrder.nativeOrder());
        }
    }

    private void compile() throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream text = FailingCalls.class.getResourceAsStream(SOURCE)) {
            Files.copy(text, source);
        }
        Process compiler = new ProcessBuilder(
                        "cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), source.toString(), "-ldl")
                .redirectErrorStream(true)
                .start();
        String output = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int exit = compiler.waitFor();
        Files.delete(source);
        if (exit != 0) {
            throw new IOException("cc ended with exit code " + exit + ", expected 0: " + output);
        }
    }

    /**
     * Returns the environment of the process whose calls are to fail.
     *
     * @param listenPort the port on which it listens for clients
     */
    public Map<String, String> environment(int listenPort) {
        Map<String, String> environment = new LinkedHashMap<>();
        environment.put("LD_PRELOAD", library.toString());
        environment.put("FAILING_CALL", fault.call().functionName());
        environment.put("FAILING_ERRNO", Integer.toString(fault.error().number()));
        environment.put("FAILING_ONE_IN", Integer.toString(fault.oneIn()));
        environment.put("FAILING_LIMIT", Integer.toString(fault.limit()));
        environment.put("FAILING_SEED", Long.toString(fault.seed()));
        environment.put("FAILING_TARGET", fault.target().environmentName());
        environment.put("FAILING_LISTEN_PORT", Integer.toString(listenPort));
        environment.put("FAILING_CONTROL", controlFile.toString());
        return environment;
    }

    /** Lets calls fail from now on. */
    public void start() {
        control.putInt(ACTIVE_OFFSET, 1);
    }

    /** Lets no further call fail. */
    public void stop() {
        control.putInt(ACTIVE_OFFSET, 0);
    }

    /** Number of calls that have failed. */
    public long failures() {
        return control.getLong(FAILURES_OFFSET);
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(library);
        Files.deleteIfExists(controlFile);
        Files.deleteIfExists(folder);
    }
}
