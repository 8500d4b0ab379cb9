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
 * A directory that this process alone uses. Each file is unlinked as soon as it is open, so that a crash leaves none
 * behind, except for one between the two steps, whose file is removed at the next start. Open files remain usable if
 * the directory is removed.
 */
public final class SpoolDirectory implements Disk {

    private static final String FILE_PREFIX = "body-";
    private static final Set<PosixFilePermission> DIRECTORY_PERMISSIONS = EnumSet.of(
            PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE, PosixFilePermission.OWNER_EXECUTE);
    private static final Set<PosixFilePermission> FILE_PERMISSIONS =
            EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    private final Path directory;

    private SpoolDirectory(Path directory) {
        this.directory = directory;
    }

    /**
     * Opens the directory, creates it with permissions 0700 if it is missing, and removes files that an earlier process
     * left.
     *
     * @throws IOException if it is a symbolic link, not a directory, or accessible to others, or cannot be created
     */
    public static SpoolDirectory open(Path directory) throws IOException {
        if (!Files.exists(directory, LinkOption.NOFOLLOW_LINKS)) {
            Files.createDirectories(directory, PosixFilePermissions.asFileAttribute(DIRECTORY_PERMISSIONS));
        }
        if (!Files.isDirectory(directory, LinkOption.NOFOLLOW_LINKS)) {
            throw new IOException(directory + " is not a directory");
        }
        Set<PosixFilePermission> found = Files.getPosixFilePermissions(directory, LinkOption.NOFOLLOW_LINKS);
        if (!DIRECTORY_PERMISSIONS.containsAll(found)) {
            throw new IOException(directory + " is accessible to others: permissions are "
                    + PosixFilePermissions.toString(found) + ", expected at most rwx------");
        }
        try (DirectoryStream<Path> leftovers = Files.newDirectoryStream(directory, FILE_PREFIX + "*")) {
            for (Path leftover : leftovers) {
                Files.deleteIfExists(leftover);
            }
        }
        return new SpoolDirectory(directory);
    }

    @Override
    public OpenFile create() throws IOException {
        Path file = Files.createTempFile(
                directory, FILE_PREFIX, "", PosixFilePermissions.asFileAttribute(FILE_PERMISSIONS));
        FileChannel channel;
        try {
            channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        } finally {
            Files.deleteIfExists(file);
        }
        return new UnlinkedFile(channel);
    }

    private record UnlinkedFile(FileChannel channel) implements OpenFile {

        @Override
        public void append(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        @Override
        public void read(long position, ByteBuffer target) throws IOException {
            long next = position;
            while (target.hasRemaining()) {
                int read = channel.read(target, next);
                if (read < 0) {
                    throw new EOFException(
                            "the file ends at " + next + ", expected " + target.remaining() + " more bytes");
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
