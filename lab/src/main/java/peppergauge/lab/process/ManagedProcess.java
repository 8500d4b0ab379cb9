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
 * An external program in a process group and a directory of its own, which can be started again after it ended. The
 * directory outlives the process. Not thread-safe, except {@link #writeLine}; only methods documented to wait do so.
 */
public final class ManagedProcess implements Closeable {

    /** Signals for all processes of the group. */
    public enum Signal {
        KILL,
        TERM,
        HUP,
        STOP,
        CONT
    }

    /**
     * How to start the program.
     *
     * @param arguments the command; {@code {dir}} in them is replaced by the data directory
     * @param workingDirectory the directory in which the command is run
     * @param environment added to the environment of this process, of which the variables {@code GW_*} are not
     *         inherited
     */
    public record Command(List<String> arguments, Path workingDirectory, Map<String, String> environment) {}

    /** Overwrites the end of a corrupted file; neither valid text nor a plausible length. */
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
     * Creates the directory of the program without starting it.
     *
     * @param folder directory that is created; its data directory holds what the program writes
     * @param lines receives each line of standard output on a separate thread; if empty, standard output goes to the
     *         log together with standard error
     */
    public ManagedProcess(String name, Path folder, Optional<Consumer<String>> lines) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        this.lines = lines;
    }

    /** Returns the directory for the files of the program. */
    public Path dataDirectory() {
        return folder.resolve("disk");
    }

    Path log() {
        return folder.resolve("log-" + startCount);
    }

    /**
     * Starts the program.
     *
     * @throws IOException if it cannot be started
     */
    public void start(Command command) throws IOException {
        startCount++;
        Files.createDirectories(dataDirectory());
        List<String> arguments = new ArrayList<>(List.of("setsid"));
        command.arguments()
                .forEach(word -> arguments.add(
                        word.replace(DIRECTORY_PLACEHOLDER, dataDirectory().toString())));
        ProcessBuilder builder = new ProcessBuilder(arguments)
                .directory(command.workingDirectory().toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
        builder.environment().put("TMPDIR", dataDirectory().toString());
        command.environment()
                .forEach((key, value) -> builder.environment()
                        .put(
                                key,
                                value.replace(
                                        DIRECTORY_PLACEHOLDER, dataDirectory().toString())));
        builder.redirectError(log().toFile());
        if (lines.isEmpty()) {
            builder.redirectErrorStream(true).redirectOutput(log().toFile());
        }
        process = builder.start();
        input = process.outputWriter(StandardCharsets.UTF_8);
        lines.ifPresent(consumer -> read(process, consumer));
    }

    /** Reads the output to its end, since output written before a kill remains in the pipe. */
    private void read(Process from, Consumer<String> consumer) {
        reader = new Thread(
                () -> {
                    try (BufferedReader text =
                            new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
                        for (String line = text.readLine(); line != null; line = text.readLine()) {
                            consumer.accept(line);
                        }
                    } catch (IOException closed) {
                        // The process has ended and its pipe is closed.
                    }
                },
                "output of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Writes a line to standard input. A line for a process that has ended is lost. */
    public synchronized void writeLine(String line) {
        try {
            input.write(line + "\n");
            input.flush();
        } catch (IOException gone) {
            // The caller sends the current state again after the next start.
        }
    }

    /**
     * Sends a signal to the process group and waits until it was sent.
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
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while sending SIG" + signal + " to " + name);
        }
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /**
     * Waits until the process has ended and its output has been read.
     *
     * @return false if the process still runs
     */
    public boolean awaitEnd(long ms) throws InterruptedException {
        boolean ended = process.waitFor(ms, TimeUnit.MILLISECONDS);
        if (ended && reader != null) {
            reader.join(ms);
        }
        return ended;
    }

    /** Returns the process that was started last. */
    Process process() {
        return process;
    }

    /** Returns the process ID; empty if the program does not run. */
    public OptionalLong pid() {
        return isAlive() ? OptionalLong.of(process.pid()) : OptionalLong.empty();
    }

    /** Returns the resident memory of the process and its descendants, in KiB. */
    public long rssKb() {
        return isAlive() ? Usage.of(process.toHandle()).rssKb() : 0;
    }

    /** Returns the log since the last start. */
    public String readLog() {
        return ProcFiles.read(log());
    }

    /** Deletes all files that the program has written. */
    public void deleteFiles() throws IOException {
        for (Path file : files(dataDirectory())) {
            Files.delete(file);
        }
    }

    /** Truncates and corrupts the end of the newest file, as a crash of the machine during a write may do. */
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
        } catch (UncheckedIOException failed) {
            throw failed.getCause();
        }
    }

    /**
     * Kills the process and its descendants and waits until it has ended, so that no more is written. The directory is
     * kept.
     *
     * @throws IOException if the process still runs after 5 s
     */
    @Override
    public void close() throws IOException {
        if (process == null) {
            return;
        }
        try {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
        } catch (RuntimeException noFreeDescriptor) {
            // Without a free file descriptor /proc cannot be read and Java ends no process; the check below reports
            // that.
        }
        process.destroyForcibly();
        try {
            if (!process.waitFor(MAX_EXIT_WAIT_S, TimeUnit.SECONDS)) {
                throw new IOException(
                        name + " still runs " + MAX_EXIT_WAIT_S + " s after SIGKILL, process ID " + process.pid());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
