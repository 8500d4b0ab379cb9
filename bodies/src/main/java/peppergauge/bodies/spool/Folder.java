package peppergauge.bodies.spool;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.EnumSet;
import java.util.Set;

/**
 * A folder of this process alone. Each file loses its name as soon as it is open: a crash leaves none behind, but for
 * one that dies between the two, which the next start removes; and a folder that vanishes later harms no open file.
 */
public final class Folder implements Disk {

    private static final String PREFIX = "body-";
    private static final Set<PosixFilePermission> OWNER = EnumSet.of(
            PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE, PosixFilePermission.OWNER_EXECUTE);

    private final Path folder;

    private Folder(Path folder) {
        this.folder = folder;
    }

    /**
     * Opens it, makes it with rights 0700 if it is missing, and removes what a process before left.
     *
     * @throws IOException if it is a link, no folder, or open to others, or cannot be made
     */
    public static Folder open(Path folder) throws IOException {
        if (!Files.exists(folder, LinkOption.NOFOLLOW_LINKS)) {
            Files.createDirectories(folder, PosixFilePermissions.asFileAttribute(OWNER));
        }
        if (!Files.isDirectory(folder, LinkOption.NOFOLLOW_LINKS)) {
            throw new IOException(folder + " is no folder");
        }
        if (!OWNER.containsAll(Files.getPosixFilePermissions(folder, LinkOption.NOFOLLOW_LINKS))) {
            throw new IOException(folder + " lets others in");
        }
        try (DirectoryStream<Path> left = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path each : left) {
                Files.deleteIfExists(each);
            }
        }
        return new Folder(folder);
    }

    @Override
    public Place create() throws IOException {
        Path file = Files.createTempFile(
                folder,
                PREFIX,
                "",
                PosixFilePermissions.asFileAttribute(
                        EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE)));
        FileChannel channel;
        try {
            channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        } finally {
            Files.deleteIfExists(file);
        }
        return new Unnamed(channel);
    }

    private record Unnamed(FileChannel channel) implements Place {

        @Override
        public void append(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        @Override
        public void read(long at, ByteBuffer into) throws IOException {
            long next = at;
            while (into.hasRemaining()) {
                int read = channel.read(into, next);
                if (read < 0) {
                    throw new EOFException("the file ends at " + next);
                }
                next += read;
            }
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
