package peppergauge.plugin.box;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/** What a plug-in keeps, by key; bounded in bytes, shared by its instances, and there after a reload. */
public final class Store {

    /** What an entry costs beside its bytes. */
    private static final int ENTRY = 64;

    public static final int LONGEST_KEY = 256;
    public static final int LONGEST_VALUE = 16 * 1024;

    private final Map<ByteBuffer, byte[]> entries = new HashMap<>();
    private int most;
    private int held;

    /** @param most bytes, keys and values and 64 for each entry */
    public Store(int most) {
        this.most = most;
    }

    /** Another bound; what is held already stays. */
    public synchronized void bound(int bytes) {
        most = bytes;
    }

    synchronized byte[] get(byte[] key) {
        return entries.get(ByteBuffer.wrap(key));
    }

    /** Whether there was room; if not, nothing changes. */
    synchronized boolean set(byte[] key, byte[] value) {
        byte[] before = entries.get(ByteBuffer.wrap(key));
        int more = before == null ? ENTRY + key.length + value.length : value.length - before.length;
        if (key.length > LONGEST_KEY || value.length > LONGEST_VALUE || more > 0 && held + more > most) {
            return false;
        }
        entries.put(ByteBuffer.wrap(key), value);
        held += more;
        return true;
    }

    synchronized boolean remove(byte[] key) {
        byte[] before = entries.remove(ByteBuffer.wrap(key));
        if (before != null) {
            held -= ENTRY + key.length + before.length;
        }
        return before != null;
    }

    /** Bytes. */
    public synchronized int held() {
        return held;
    }
}
