package peppergauge.lab.callfault;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Which calls fail while a fault lasts.
 *
 * @param oneIn one in so many calls fails, chosen by the seed
 * @param limit how many calls fail at most; 0 for any number
 */
public record CallFault(SystemCall call, Errno error, FaultTarget target, int oneIn, int limit, long seed) {

    private static final int[] ONE_IN = {1, 3, 3, 10};
    /** At one failing call in so many, one of a few tries nearly always succeeds. */
    private static final int MIN_ONE_IN_SPARED = 3;

    private static final int[] LIMITS = {0, 0, 1, 20};

    /** The errors that Linux documents for a call, of which one is drawn. */
    private record Documented(SystemCall call, FaultTarget target, List<Errno> errors) {}

    private static final List<Documented> DOCUMENTED = List.of(
            new Documented(
                    SystemCall.ACCEPT,
                    FaultTarget.ANY,
                    List.of(
                            Errno.ENFILE,
                            Errno.EMFILE,
                            Errno.ENOBUFS,
                            Errno.ENOMEM,
                            Errno.EPROTO,
                            Errno.ENETDOWN,
                            Errno.ECONNABORTED,
                            Errno.EINTR)),
            new Documented(
                    SystemCall.SOCKET,
                    FaultTarget.ANY,
                    List.of(Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM)),
            new Documented(
                    SystemCall.CONNECT,
                    FaultTarget.ANY,
                    List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EHOSTUNREACH, Errno.EINTR)),
            new Documented(SystemCall.SETSOCKOPT, FaultTarget.ANY, List.of(Errno.ENOBUFS, Errno.ENOMEM, Errno.EINVAL)),
            new Documented(SystemCall.GETSOCKOPT, FaultTarget.SERVERS, List.of(Errno.ENOBUFS, Errno.EINVAL)),
            new Documented(SystemCall.POLL, FaultTarget.ANY, List.of(Errno.EINTR, Errno.ENOMEM)),
            new Documented(SystemCall.EPOLL_CTL, FaultTarget.ANY, List.of(Errno.ENOSPC, Errno.ENOMEM)),
            new Documented(SystemCall.EPOLL_WAIT, FaultTarget.ANY, List.of(Errno.EINTR)),
            new Documented(
                    SystemCall.READ,
                    FaultTarget.SERVERS,
                    List.of(Errno.ETIMEDOUT, Errno.ECONNRESET, Errno.ENOBUFS, Errno.EINTR, Errno.SHORT)),
            new Documented(
                    SystemCall.WRITE,
                    FaultTarget.SERVERS,
                    List.of(Errno.EHOSTUNREACH, Errno.ECONNRESET, Errno.ENOBUFS, Errno.EINTR, Errno.SHORT)),
            new Documented(
                    SystemCall.READ,
                    FaultTarget.CLIENTS,
                    List.of(Errno.ETIMEDOUT, Errno.ECONNRESET, Errno.EINTR, Errno.SHORT)),
            new Documented(
                    SystemCall.WRITE,
                    FaultTarget.CLIENTS,
                    List.of(Errno.EHOSTUNREACH, Errno.ECONNRESET, Errno.EINTR, Errno.SHORT)),
            new Documented(SystemCall.WRITE, FaultTarget.LOG, List.of(Errno.ENOSPC, Errno.EIO, Errno.SHORT)),
            new Documented(SystemCall.SHUTDOWN, FaultTarget.ANY, List.of(Errno.ENOTCONN)),
            new Documented(SystemCall.CLOSE, FaultTarget.ANY, List.of(Errno.EIO, Errno.EINTR)));

    /** Draws a fault from a seed; successive seeds have successive calls. */
    public static CallFault draw(long seed) {
        Documented documented = DOCUMENTED.get(Math.floorMod(seed, DOCUMENTED.size()));
        SplittableRandom random = new SplittableRandom(seed);
        return new CallFault(
                documented.call(),
                documented.errors().get(random.nextInt(documented.errors().size())),
                documented.target(),
                ONE_IN[random.nextInt(ONE_IN.length)],
                LIMITS[random.nextInt(LIMITS.length)],
                seed);
    }

    /** Whether a failing call may cost the client's connection on which it fails, and its request with it. */
    public boolean mayBreakClientConnections() {
        boolean isInput = call == SystemCall.READ || call == SystemCall.WRITE || call == SystemCall.SHUTDOWN;
        boolean isOfClients = target == FaultTarget.CLIENTS || target == FaultTarget.ANY;
        return isOfClients && (isInput || call == SystemCall.SETSOCKOPT || call == SystemCall.EPOLL_CTL);
    }

    /** Whether no connection can be accepted while it lasts, so that nothing of new clients can be read. */
    public boolean keepsClientsOut() {
        return call == SystemCall.ACCEPT && oneIn == 1 && limit == 0 && error != Errno.ECONNABORTED;
    }

    /** Whether no response can be written while it lasts: each write is interrupted, or would have to wait. */
    public boolean blocksResponses() {
        boolean isRepeated = error == Errno.EINTR || error == Errno.EAGAIN;
        boolean isOfClients = target == FaultTarget.CLIENTS || target == FaultTarget.ANY;
        return call == SystemCall.WRITE && isRepeated && isOfClients && oneIn == 1 && limit == 0;
    }

    /** Whether requests can still be served while it lasts: another try of the same call usually succeeds. */
    public boolean spares95PercentOfRequests() {
        boolean isRegistration = call == SystemCall.EPOLL_CTL && target == FaultTarget.SERVERS;
        return (call.isPartOfConnecting() || isRegistration) && oneIn >= MIN_ONE_IN_SPARED;
    }

    @Override
    public String toString() {
        return "seed=" + seed + " call=" + call + " error=" + error + " target=" + target + " one_in=" + oneIn
                + " limit=" + limit;
    }
}
