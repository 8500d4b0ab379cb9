package peppergauge.snapshot.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** A real disk on which chosen operations fail, as on a full one. A failing write leaves half of its bytes. */
public final class FaultyDisk implements FileSystem {

    public final List<String> done = new ArrayList<>();
    /** Asked of each operation by its name; true makes it fail. */
    public volatile Predicate<String> fails = operation -> false;

    private final FileSystem real = new PosixFileSystem();

    private synchronized void step(String operation) throws IOException {
        done.add(operation);
        if (fails.test(operation)) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public void openFolder(Path folder) throws IOException {
        step("folder");
        real.openFolder(folder);
    }

    @Override
    public Lock lock(Path file) throws IOException {
        step("lock");
        return real.lock(file);
    }

    @Override
    public byte[] read(Path file, long most) throws IOException {
        step("read");
        return real.read(file, most);
    }

    @Override
    public Sink create(Path file) throws IOException {
        step("create");
        Sink sink = real.create(file);
        return new Sink() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                try {
                    step("write");
                } catch (IOException full) {
                    sink.write(bytes.slice(0, bytes.remaining() / 2));
                    throw full;
                }
                sink.write(bytes);
            }

            @Override
            public void force() throws IOException {
                step("force");
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
        step("rename");
        real.rename(from, to);
    }

    @Override
    public void forceFolder(Path folder) throws IOException {
        step("force folder");
        real.forceFolder(folder);
    }

    @Override
    public void delete(Path file) throws IOException {
        step("delete");
        real.delete(file);
    }
}
