package peppergauge.lab.callfault;

/** Errors of system calls, with their numbers on Linux, which are the same on x86-64 and arm64. */
public enum Errno {
    /** No error: a read or write transfers a single byte. */
    SHORT(0),
    EINTR(4),
    EIO(5),
    EAGAIN(11),
    ENOMEM(12),
    EINVAL(22),
    ENFILE(23),
    EMFILE(24),
    ENOSPC(28),
    EROFS(30),
    EPROTO(71),
    EADDRNOTAVAIL(99),
    ENETDOWN(100),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ECONNRESET(104),
    ENOBUFS(105),
    ENOTCONN(107),
    ETIMEDOUT(110),
    EHOSTUNREACH(113),
    EDQUOT(122);

    private final int number;

    Errno(int number) {
        this.number = number;
    }

    /** Returns the number that the C library uses. */
    int number() {
        return number;
    }
}
