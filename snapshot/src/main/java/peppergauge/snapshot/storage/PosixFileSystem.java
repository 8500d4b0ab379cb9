package peppergauge.snapshot.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Set;

/** The {@link FileSystem} of a POSIX machine. */
public final class PosixFileSystem implements FileSystem {

    private static final Set<PosixFilePermission> OWNER_ONLY = PosixFilePermissions.fromString("rwx------");
    private static final FileAttribute<?> FOLDER_PERMISSIONS = PosixFilePermissions.asFileAttribute(OWNER_ONLY);
    private static final FileAttribute<?> FILE_PERMISSIONS =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));

    @Override
    public void openFolder(Path folder) throws IOException {
        try {
            Files.createDirectory(folder, FOLDER_PERMISSIONS);
        } catch (FileAlreadyExistsException exists) {
            require(attributes(folder).isDirectory(), folder + " is not a folder");
        }
        require(
                OWNER_ONLY.containsAll(Files.getPosixFilePermissions(folder, LinkOption.NOFOLLOW_LINKS)),
                folder + " is accessible to other users, its permissions must be 0700");
    }

    @Override
    public Lock lock(Path file) throws IOException {
        FileChannel channel = FileChannel.open(
                file,
                Set.of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
                FILE_PERMISSIONS);
        try {
            BasicFileAttributes created = attributes(file);
            require(created.isRegularFile(), file + " is not a regular file");
            require(
                    Files.getOwner(file, LinkOption.NOFOLLOW_LINKS)
                            .equals(Files.getOwner(file.getParent(), LinkOption.NOFOLLOW_LINKS)),
                    file.getParent() + " belongs to another user");
            require(tryLock(channel) != null, "another process uses " + file);
            return new HeldLock(channel, file, created.fileKey());
        } catch (IOException refused) {
            channel.close();
            throw refused;
        }
    }

    /** Returns null if the lock is held by this process or another one. */
    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException inThisProcess) {
            return null;
        }
    }

    /** A held lock; {@code key} identifies the locked file, not its name. */
    private record HeldLock(FileChannel channel, Path file, Object key) implements Lock {

        @Override
        public boolean isHeld() {
            try {
                return attributes(file).fileKey().equals(key);
            } catch (IOException gone) {
                return false;
            }
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    @Override
    public byte[] read(Path file, long maxBytes) throws IOException {
        // Checked before opening, since opening a pipe would block.
        require(attributes(file).isRegularFile(), "it is not a regular file");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, LinkOption.NOFOLLOW_LINKS)) {
            long size = channel.size();
            require(size <= maxBytes, "it has " + size + " bytes, more than the limit of " + maxBytes);
            ByteBuffer bytes = ByteBuffer.allocate((int) size);
            while (bytes.hasRemaining() && channel.read(bytes) >= 0) {
                // Reads until the buffer is full or the file ends.
            }
            require(!bytes.hasRemaining(), "it was truncated while it was read");
            return bytes.array();
        }
    }

    @Override
    public Sink create(Path file) throws IOException {
        delete(file);
        FileChannel channel = FileChannel.open(
                file,
                Set.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
                FILE_PERMISSIONS);
        return new Sink() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }

            @Override
            public void force() throws IOException {
                channel.force(true);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void forceFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }

    private static BasicFileAttributes attributes(Path file) throws IOException {
        return Files.readAttributes(file, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS);
    }

    private static void require(boolean holds, String message) throws IOException {
        if (!holds) {
            throw new IOException(message);
        }
    }
}
