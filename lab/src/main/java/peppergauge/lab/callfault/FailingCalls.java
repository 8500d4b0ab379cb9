package peppergauge.lab.callfault;

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
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The preloaded library that lets calls of one process fail, and the memory that switches each fault on and off. */
public final class FailingCalls implements Closeable {

    private static final String SOURCE = "failing_calls.c";
    /** The limit of the library. */
    private static final int MAX_FAULTS = 8;

    private static final int CONTROL_BYTES = 24;
    private static final int ACTIVE_OFFSET = 0;
    private static final int FAILURES_OFFSET = 16;

    private final List<CallFault> faults;
    private final Path folder;
    private final Path library;
    private final Path controlFile;
    private final MappedByteBuffer control;

    /**
     * Builds the library with the machine's C compiler.
     *
     * @param faults at most {@value #MAX_FAULTS}; none lasts before it is started
     * @throws IOException if there is no compiler, or it fails
     */
    public FailingCalls(List<CallFault> faults) throws IOException, InterruptedException {
        if (faults.size() > MAX_FAULTS) {
            throw new IllegalArgumentException(faults.size() + " faults, expected " + MAX_FAULTS + " or fewer");
        }
        this.faults = List.copyOf(faults);
        folder = Files.createTempDirectory("failing-calls");
        library = folder.resolve("libfailing_calls.so");
        controlFile = folder.resolve("control");
        compile();
        try (RandomAccessFile file = new RandomAccessFile(controlFile.toFile(), "rw")) {
            file.setLength((long) CONTROL_BYTES * MAX_FAULTS);
            control = file.getChannel().map(FileChannel.MapMode.READ_WRITE, 0, file.length());
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
        environment.put(
                "FAILING_CALLS", faults.stream().map(FailingCalls::describe).collect(Collectors.joining(" ")));
        environment.put("FAILING_LISTEN_PORT", Integer.toString(listenPort));
        environment.put("FAILING_CONTROL", controlFile.toString());
        return environment;
    }

    private static String describe(CallFault fault) {
        return String.join(
                ",",
                fault.call().functionName(),
                Integer.toString(fault.error().number()),
                fault.target().environmentName(),
                Integer.toString(fault.oneIn()),
                Integer.toString(fault.limit()),
                Long.toString(fault.seed()));
    }

    /** Lets calls fail by the fault of this index from now on. */
    public void start(int index) {
        control.putInt(index * CONTROL_BYTES + ACTIVE_OFFSET, 1);
    }

    /** Lets no further call fail by this fault. */
    public void stop(int index) {
        control.putInt(index * CONTROL_BYTES + ACTIVE_OFFSET, 0);
    }

    /** Number of calls that have failed by this fault. */
    public long failures(int index) {
        return control.getLong(index * CONTROL_BYTES + FAILURES_OFFSET);
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(library);
        Files.deleteIfExists(controlFile);
        Files.deleteIfExists(folder);
    }
}
