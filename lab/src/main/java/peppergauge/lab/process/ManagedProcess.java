package peppergauge.lab.process;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.InterruptedIOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Any program over all lives of its process, in a process group and a folder of its own that outlives it. Its methods
 * are for one thread at a time; none waits but where it says so.
 */
public final class ManagedProcess implements Closeable {

    /** Signals that are sent to all of its processes. */
    public enum Signal {
        KILL,
        TERM,
        HUP,
        STOP,
        CONT
    }

    /**
     * How to start it.
     *
     * @param words the command; {@code {dir}} in them is its folder
     * @param workplace the folder in which it is run
     * @param environment added to this process's, whose {@code GW_*} it does not get
     */
    public record Command(List<String> arguments, Path workingDirectory, Map<String, String> environment) {}

    /** What the last bytes of a torn file are overwritten with: no text and no length that a reader could believe. */
    private static final byte[] GARBAGE = {(byte) 0xff, 0, (byte) 0xfe, 1, (byte) 0xfd, 2, (byte) 0xfc};

    private static final int TRUNCATED_BYTES = 23;
    private static final long MAX_EXIT_WAIT_S = 5;
    private static final String DIRECTORY_PLACEHOLDER = "{dir}";

    private final String name;
    private final Path folder;
    private final Optional<Consumer<String>> lines;
    private Process process;
    private Writer input;
    private Thread reader;
    private int startCount;

    /**
     * Nothing is started yet.
     *
     * @param folder is made; what the program writes there is its disk
     * @param lines told of each line that it writes to standard output, on a thread of its own; without, it goes to its
     *        log as standard error does
     */
    public ManagedProcess(String name, Path folder, Optional<Consumer<String>> lines) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        this.lines = lines;
    }

    /** Where its disk is. */
    public Path dataDirectory() {
        return folder.resolve("disk");
    }

    Path log() {
        return folder.resolve("log-" + startCount);
    }

    /**
     * Starts it.
     *
     * @throws IOException if it cannot be started
     */
    public void start(Command command) throws IOException {
        startCount++;
        Files.createDirectories(dataDirectory());
        List<String> arguments = new ArrayList<>(List.of("setsid"));
        command.arguments().forEach(word ->
                arguments.add(word.replace(DIRECTORY_PLACEHOLDER, dataDirectory().toString())));
        ProcessBuilder builder =
                new ProcessBuilder(arguments).directory(command.workingDirectory().toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
        builder.environment().put("TMPDIR", dataDirectory().toString());
        command.environment()
                .forEach((key, value) ->
                        builder.environment().put(key,
                        value.replace(DIRECTORY_PLACEHOLDER, dataDirectory().toString())));
        builder.redirectError(log().toFile());
        if (lines.isEmpty()) {
            builder.redirectErrorStream(true).redirectOutput(log().toFile());
        }
        process = builder.start();
        input = process.outputWriter(StandardCharsets.UTF_8);
        lines.ifPresent(consumer -> read(process, consumer));
    }

    /** What a killed process has written before stays in the pipe: it is read to its end. */
    private void read(Process from, Consumer<String> consumer) {
        reader = new Thread(
                () -> {
                    try (BufferedReader text =
                            new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
                        for (String line = text.readLine(); line != null; line = text.readLine()) {
                            consumer.accept(line);
                        }
                    } catch (IOException closed) {
                        // The process is gone, and so is its pipe.
                    }
                },
                "lines of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Writes a line to its standard input; one to a process that is gone is lost. */
    public synchronized void writeLine(String line) {
        try {
            input.write(line + "\n");
            input.flush();
        } catch (IOException gone) {
            // Its next life is told what holds then.
        }
    }

    /**
     * Sends a signal to its process group, and waits until it was sent.
     *
     * @throws IOException if it cannot be sent, or the thread is interrupted meanwhile
     */
    public void signal(Signal signal) throws IOException {
        Process sender = new ProcessBuilder("kill", "-s", signal.name(), "--", "-" + process.pid())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            sender.waitFor();
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("while a signal was sent");
        }
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Waits for its end, and for its last lines; false if it still runs. */
    public boolean awaitEnd(long ms) throws InterruptedException {
        boolean ended = process.waitFor(ms, TimeUnit.MILLISECONDS);
        if (ended && reader != null) {
            reader.join(ms);
        }
        return ended;
    }

    /** The present life's process. */
    Process process() {
        return process;
    }

    /** The number of the present life's process; empty if there is none. */
    public OptionalLong pid() {
        return isAlive() ? OptionalLong.of(process.pid()) : OptionalLong.empty();
    }

    /** Resident memory of the process and all below it, KiB. */
    public long rssKb() {
        return isAlive() ? Usage.of(process.toHandle()).rssKb() : 0;
    }

    /** The log of its present life. */
    public String readLog() {
        return Proc.read(log());
    }

    /** Takes all away that it wrote. */
    public void deleteFiles() throws IOException {
        for (Path file : files(dataDirectory())) {
            Files.delete(file);
        }
    }

    /** Garbles the end of the newest file that it wrote, as a machine that fell in the middle of a write may do. */
    public void corruptNewestFile() throws IOException {
        Optional<Path> newest = files(dataDirectory()).stream()
                .max(Comparator.comparingLong(file -> file.toFile().lastModified()));
        if (newest.isPresent()) {
            try (RandomAccessFile file = new RandomAccessFile(newest.get().toFile(), "rw")) {
                file.setLength(Math.max(0, file.length() - TRUNCATED_BYTES));
                file.seek(Math.max(0, file.length() - GARBAGE.length));
                file.write(GARBAGE);
            }
        }
    }

    private static List<Path> files(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            return List.of();
        }
        try (Stream<Path> all = Files.walk(folder)) {
            return all.filter(Files::isRegularFile).toList();
        } catch (UncheckedIOException changing) {
            throw changing.getCause();
        }
    }

    /** Kills what is left of it, and waits until it is gone, so that nothing more is written; its folder stays. */
    @Override
    public void close() throws IOException {
        if (process == null) {
            return;
        }
        try {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
        } catch (RuntimeException outOfFiles) {
            // Who has no file left cannot look into /proc, and Java ends nothing either; that is told below.
        }
        process.destroyForcibly();
        try {
            if (!process.waitFor(MAX_EXIT_WAIT_S, TimeUnit.SECONDS)) {
                throw new IOException(name + " still runs, process " + process.pid());
            }
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }
}
