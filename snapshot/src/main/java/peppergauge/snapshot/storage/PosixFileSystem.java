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
    private static final FileAttribute<?> FOLDER_RIGHTS = PosixFilePermissions.asFileAttribute(OWNER_ONLY);
    private static final FileAttribute<?> FILE_RIGHTS =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));

    @Override
    public void openFolder(Path folder) throws IOException {
        try {
            Files.createDirectory(folder, FOLDER_RIGHTS);
        } catch (FileAlreadyExistsException there) {
            require(attributes(folder).isDirectory(), folder + " is no folder");
        }
        require(
                OWNER_ONLY.containsAll(Files.getPosixFilePermissions(folder, LinkOption.NOFOLLOW_LINKS)),
                folder + " lets others in: its rights must be 0700");
    }

    @Override
    public Lock lock(Path file) throws IOException {
        FileChannel channel = FileChannel.open(
                file,
                Set.of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
                FILE_RIGHTS);
        try {
            BasicFileAttributes made = attributes(file);
            require(made.isRegularFile(), file + " is no plain file");
            require(
                    Files.getOwner(file, LinkOption.NOFOLLOW_LINKS)
                            .equals(Files.getOwner(file.getParent(), LinkOption.NOFOLLOW_LINKS)),
                    file.getParent() + " belongs to another user");
            require(tryLock(channel) != null, "another process uses " + file);
            return new HeldLock(channel, file, made.fileKey());
        } catch (IOException refused) {
            channel.close();
            throw refused;
        }
    }

    /** Returns null if the lock is held, in this process or elsewhere. */
    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException inThisProcess) {
            return null;
        }
    }

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
        // Checked first: opening a pipe would block.
        require(attributes(file).isRegularFile(), "it is no plain file");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, LinkOption.NOFOLLOW_LINKS)) {
            long size = channel.size();
            require(size <= maxBytes, "it has " + size + " bytes, more than " + maxBytes);
            ByteBuffer bytes = ByteBuffer.allocate((int) size);
            while (bytes.hasRemaining() && channel.read(bytes) >= 0) {
                // Reads on to the end.
            }
            require(!bytes.hasRemaining(), "it became shorter while it was read");
            return bytes.array();
        }
    }

    @Override
    public Sink create(Path file) throws IOException {
        delete(file);
        FileChannel channel = FileChannel.open(
                file,
                Set.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
                FILE_RIGHTS);
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

    private static void require(boolean holds, String otherwise) throws IOException {
        if (!holds) {
            throw new IOException(otherwise);
        }
    }
}
