package peppergauge.snapshot.storage;

import java.nio.file.Path;
import peppergauge.snapshot.SampleSnapshots;
import peppergauge.snapshot.format.SnapshotFormat;

/** A process that writes numbered snapshots until it is killed, and prints the number of each after it is written. */
public final class SnapshotWriterProcess {

    private SnapshotWriterProcess() {}

    public static void main(String[] args) throws Exception {
        SnapshotFiles files = new SnapshotFiles(new PosixFileSystem(), Path.of(args[0]), "a");
        long first = Long.parseLong(args[1]);
        for (long number = first; ; number++) {
            files.put(SnapshotFormat.encode(SampleSnapshots.snapshot("a", number, 200)));
            System.out.println(number);
        }
    }
}
