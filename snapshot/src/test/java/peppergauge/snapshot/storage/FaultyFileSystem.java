package peppergauge.snapshot.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** A real file system on which chosen operations fail as on a full disk. A failing write writes half of its bytes. */
public final class FaultyFileSystem implements FileSystem {

    /** Names of all operations so far, the failed ones included. */
    public final List<String> operations = new ArrayList<>();
    /** Decides by the name of an operation whether it fails. */
    public volatile Predicate<String> failure = operation -> false;

    private final FileSystem real = new PosixFileSystem();

    private synchronized void begin(String operation) throws IOException {
        operations.add(operation);
        if (failure.test(operation)) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public void openFolder(Path folder) throws IOException {
        begin("folder");
        real.openFolder(folder);
    }

    @Override
    public Lock lock(Path file) throws IOException {
        begin("lock");
        return real.lock(file);
    }

    @Override
    public byte[] read(Path file, long maxBytes) throws IOException {
        begin("read");
        return real.read(file, maxBytes);
    }

    @Override
    public Sink create(Path file) throws IOException {
        begin("create");
        Sink sink = real.create(file);
        return new Sink() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                try {
                    begin("write");
                } catch (IOException full) {
                    sink.write(bytes.slice(0, bytes.remaining() / 2));
                    throw full;
                }
                sink.write(bytes);
            }

            @Override
            public void force() throws IOException {
                begin("force");
                sink.force();
            }

            @Override
            public void close() throws IOException {
                sink.close();
            }
        };
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        begin("rename");
        real.rename(from, to);
    }

    @Override
    public void forceFolder(Path folder) throws IOException {
        begin("force folder");
        real.forceFolder(folder);
    }

    @Override
    public void delete(Path file) throws IOException {
        begin("delete");
        real.delete(file);
    }
}
