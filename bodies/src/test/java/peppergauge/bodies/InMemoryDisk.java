package peppergauge.bodies;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import peppergauge.bodies.spool.Disk;

/** A disk in memory with limited space, whose contents can be corrupted and truncated. Thread-safe. */
public final class InMemoryDisk implements Disk {

    public final AtomicInteger openFiles = new AtomicInteger();

    private final List<byte[]> files = new ArrayList<>();
    private long freeBytes;

    public InMemoryDisk(long freeBytes) {
        this.freeBytes = freeBytes;
    }

    /** Sets how many more bytes fit. */
    public synchronized void setFreeBytes(long bytes) {
        freeBytes = bytes;
    }

    /** Returns whether a file has a byte at the given position. */
    public synchronized boolean hasByte(int at) {
        return files.stream().anyMatch(file -> file.length > at);
    }

    /** Flips a bit of the byte at the given position in each file that has it. */
    public synchronized void corruptByte(int at) {
        files.stream().filter(file -> file.length > at).forEach(file -> file[at] ^= 4);
    }

    /** Truncates each file. */
    public synchronized void truncate(int length) {
        files.replaceAll(file -> Arrays.copyOf(file, Math.min(file.length, length)));
    }

    @Override
    public synchronized OpenFile create() {
        int number = files.size();
        files.add(new byte[0]);
        openFiles.incrementAndGet();
        return new OpenFile() {
            @Override
            public void append(ByteBuffer bytes) throws IOException {
                synchronized (InMemoryDisk.this) {
                    byte[] stored = files.get(number);
                    int fits = (int) Math.min(bytes.remaining(), freeBytes);
                    byte[] more = Arrays.copyOf(stored, stored.length + fits);
                    bytes.get(more, stored.length, fits);
                    files.set(number, more);
                    freeBytes -= fits;
                    if (bytes.hasRemaining()) {
                        throw new IOException("No space left on device");
                    }
                }
            }

            @Override
            public void read(long position, ByteBuffer target) throws IOException {
                synchronized (InMemoryDisk.this) {
                    byte[] stored = files.get(number);
                    if (position + target.remaining() > stored.length) {
                        throw new EOFException();
                    }
                    target.put(stored, (int) position, target.remaining());
                }
            }

            @Override
            public void close() {
                openFiles.decrementAndGet();
            }
        };
    }
}
