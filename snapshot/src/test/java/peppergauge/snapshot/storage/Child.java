package peppergauge.snapshot.storage;

import java.nio.file.Path;
import peppergauge.snapshot.Samples;
import peppergauge.snapshot.format.SnapshotFormat;

/** Writes one snapshot after another until it is killed, and says how far it came. */
public final class Child {

    private Child() {}

    public static void main(String[] args) throws Exception {
        SnapshotFiles shelf = new SnapshotFiles(new PosixFileSystem(), Path.of(args[0]), "a");
        long from = Long.parseLong(args[1]);
        for (long i = from; ; i++) {
            shelf.put(SnapshotFormat.encode(Samples.snapshot("a", i, 200)));
            System.out.println(i);
        }
    }
}
