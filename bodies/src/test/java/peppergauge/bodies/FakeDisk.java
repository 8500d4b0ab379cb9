package peppergauge.bodies;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import peppergauge.bodies.spool.Disk;

/** A disk in memory: full at a byte, and its bytes can be spoilt. */
public final class FakeDisk implements Disk {

    /** Files that are open. */
    public final AtomicInteger open = new AtomicInteger();

    private final List<byte[]> files = new ArrayList<>();
    private long room;

    public FakeDisk(long room) {
        this.room = room;
    }

    /** From now on so many bytes more fit. */
    public synchronized void room(long bytes) {
        room = bytes;
    }

    /** Spoils a byte of each file that has so many. */
    public synchronized void flip(int at) {
        files.stream().filter(file -> file.length > at).forEach(file -> file[at] ^= 4);
    }

    /** Cuts each file there. */
    public synchronized void cut(int at) {
        files.replaceAll(file -> Arrays.copyOf(file, Math.min(file.length, at)));
    }

    @Override
    public synchronized Place create() {
        int number = files.size();
        files.add(new byte[0]);
        open.incrementAndGet();
        return new Place() {
            @Override
            public void append(ByteBuffer bytes) throws IOException {
                synchronized (FakeDisk.this) {
                    byte[] held = files.get(number);
                    int fits = (int) Math.min(bytes.remaining(), room);
                    byte[] more = Arrays.copyOf(held, held.length + fits);
                    bytes.get(more, held.length, fits);
                    files.set(number, more);
                    room -= fits;
                    if (bytes.hasRemaining()) {
                        throw new IOException("No space left on device");
                    }
                }
            }

            @Override
            public void read(long at, ByteBuffer into) throws IOException {
                synchronized (FakeDisk.this) {
                    byte[] held = files.get(number);
                    if (at + into.remaining() > held.length) {
                        throw new EOFException();
                    }
                    into.put(held, (int) at, into.remaining());
                }
            }

            @Override
            public void close() {
                open.decrementAndGet();
            }
        };
    }
}
