package peppergauge.lab.syscall;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.testng.annotations.Test;
import peppergauge.RealTimeTestBase;
import peppergauge.lab.callfault.CallFault;
import peppergauge.lab.callfault.Errno;
import peppergauge.lab.callfault.FaultTarget;
import peppergauge.lab.callfault.SystemCall;
import peppergauge.lab.flood.FloodRun;
import peppergauge.lab.flood.UsualClient;

/** Lets system calls of a real sidecar fail for a while, as Linux documents that they can. */
public class SystemCallTest extends RealTimeTestBase {

    private static final int SOCKETS = 1_024;
    private static final int ALL_CPUS = -1;
    private static final long FAULT_MS = 1_500;
    /** Longer than it takes until each connection that the sidecar may have has met a failing call. */
    private static final long LONG_FAULT_MS = 3_500;

    /** The deadline that a server is told may be 150 ms too long; the servers respond after 10 ms; 50 ms of slack. */
    private static final double MAX_RESPONSE_MS = 210;

    private static final int CONCURRENT_RUNS = 3;
    private static final int ONCE = 1;
    private static final int UNLIMITED = 0;
    private static final long SEED = 1;

    private static void assertNoViolation(CallFault... faults) throws Exception {
        assertNoViolation(FAULT_MS, faults);
    }

    /** Plays the faults, some at a time, each with a sidecar of its own. */
    private static void assertNoViolation(long faultMs, CallFault... faults) throws Exception {
        ExecutorService players = Executors.newFixedThreadPool(CONCURRENT_RUNS);
        try {
            List<Callable<SystemCallOutcome>> plays = new ArrayList<>();
            for (CallFault fault : faults) {
                plays.add(() -> play(fault, faultMs));
            }
            List<String> violating = new ArrayList<>();
            for (Future<SystemCallOutcome> play : players.invokeAll(plays)) {
                if (!play.get().violations().isEmpty()) {
                    violating.add(play.get().toString());
                }
            }
            assertEquals(violating, List.of(), String.join("; ", violating));
        } finally {
            players.shutdownNow();
        }
    }

    private static SystemCallOutcome play(CallFault fault, long faultMs) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        String command = "exec " + java + " -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms24m -Xmx64m -Xss256k "
                + "-XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=48m -cp " + classPath + " peppergauge.Main serve";
        try (SystemCallRun run = new SystemCallRun(
                fault, new FloodRun.Launch(command, Path.of("").toAbsolutePath(), ALL_CPUS, SOCKETS))) {
            return run.run(faultMs);
        }
    }

    private static CallFault fault(SystemCall call, Errno error, FaultTarget target, int oneIn, int limit) {
        return new CallFault(call, error, target, oneIn, limit, SEED);
    }

    /** One failing accept ended the listener, and the process with it. */
    @Test
    public void answersAllRequestsWhileAcceptFails() throws Exception {
        assertNoViolation(
                fault(SystemCall.ACCEPT, Errno.ENFILE, FaultTarget.ANY, 1, ONCE),
                fault(SystemCall.ACCEPT, Errno.EMFILE, FaultTarget.ANY, 3, UNLIMITED),
                fault(SystemCall.ACCEPT, Errno.ENOBUFS, FaultTarget.ANY, 2, UNLIMITED),
                fault(SystemCall.ACCEPT, Errno.EPROTO, FaultTarget.ANY, 1, ONCE),
                fault(SystemCall.ACCEPT, Errno.ECONNABORTED, FaultTarget.ANY, 3, UNLIMITED));
    }

    /** A class that was needed first while files could not be read ended the process. */
    @Test
    public void answersAllRequestsWhileReadsOfAnyDescriptorFail() throws Exception {
        assertNoViolation(fault(SystemCall.READ, Errno.EAGAIN, FaultTarget.ANY, 3, UNLIMITED));
    }

    /** A socket option that could not be set on one connection ended the process. */
    @Test
    public void losesNoOtherConnectionWhenASocketOptionCannotBeSet() throws Exception {
        assertNoViolation(fault(SystemCall.SETSOCKOPT, Errno.ENOBUFS, FaultTarget.ANY, 3, UNLIMITED));
    }

    /** An interrupted poll at the end of connecting left requests without service after the interruptions had ended. */
    @Test
    public void servesAgainAfterInterruptedPolls() throws Exception {
        assertNoViolation(LONG_FAULT_MS, fault(SystemCall.POLL, Errno.EINTR, FaultTarget.ANY, 2, UNLIMITED));
    }

    /** A socket whose registration for events failed was never read again. */
    @Test
    public void answersAllRequestsWhileSocketsCannotBeRegisteredForEvents() throws Exception {
        assertNoViolation(
                fault(SystemCall.EPOLL_CTL, Errno.ENOSPC, FaultTarget.SERVERS, 5, UNLIMITED),
                fault(SystemCall.EPOLL_CTL, Errno.ENOMEM, FaultTarget.CLIENTS, 5, UNLIMITED));
    }

    /** The first socket was read 0.5 s late, and its request sent with a deadline that was as much too long. */
    @Test
    public void readsASocketSoonWhoseRegistrationForEventsHasFailed() throws Exception {
        SystemCallOutcome outcome =
                play(fault(SystemCall.EPOLL_CTL, Errno.ENOMEM, FaultTarget.CLIENTS, 1, ONCE), FAULT_MS);
        assertEquals(outcome.violations(), List.of(), outcome.toString());
        double longestMs = outcome.during().stream()
                .mapToDouble(UsualClient.Exchange::tookMs)
                .max()
                .orElseThrow();
        assertTrue(longestMs < MAX_RESPONSE_MS, "a response came after " + longestMs + " ms");
    }

    /** Calls that failed on this machine while connecting were taken for failures of the server. */
    @Test
    public void servesMostRequestsWhileConnectingFailsOnThisMachine() throws Exception {
        assertNoViolation(
                fault(SystemCall.SOCKET, Errno.EMFILE, FaultTarget.ANY, 3, UNLIMITED),
                fault(SystemCall.SOCKET, Errno.ENOBUFS, FaultTarget.ANY, 3, UNLIMITED),
                fault(SystemCall.CONNECT, Errno.EADDRNOTAVAIL, FaultTarget.ANY, 3, UNLIMITED),
                fault(SystemCall.CONNECT, Errno.ENETUNREACH, FaultTarget.ANY, 3, UNLIMITED),
                fault(SystemCall.CONNECT, Errno.EHOSTUNREACH, FaultTarget.ANY, 3, UNLIMITED),
                fault(SystemCall.CONNECT, Errno.EINTR, FaultTarget.ANY, 3, UNLIMITED),
                fault(SystemCall.GETSOCKOPT, Errno.ENOBUFS, FaultTarget.SERVERS, 3, UNLIMITED),
                fault(SystemCall.GETSOCKOPT, Errno.EINVAL, FaultTarget.SERVERS, 3, UNLIMITED));
    }

    /** Each of these ends at most the connection on which it happens. */
    @Test
    public void answersAllRequestsWhileCallsOnOpenConnectionsFail() throws Exception {
        assertNoViolation(
                fault(SystemCall.EPOLL_WAIT, Errno.EINTR, FaultTarget.ANY, 5, UNLIMITED),
                fault(SystemCall.READ, Errno.EINTR, FaultTarget.SERVERS, 5, UNLIMITED),
                fault(SystemCall.WRITE, Errno.SHORT, FaultTarget.CLIENTS, 5, UNLIMITED),
                fault(SystemCall.READ, Errno.ECONNRESET, FaultTarget.SERVERS, 5, UNLIMITED),
                fault(SystemCall.WRITE, Errno.EHOSTUNREACH, FaultTarget.CLIENTS, 5, UNLIMITED),
                fault(SystemCall.WRITE, Errno.ENOSPC, FaultTarget.LOG, 1, UNLIMITED),
                fault(SystemCall.CLOSE, Errno.EIO, FaultTarget.ANY, 5, UNLIMITED),
                fault(SystemCall.SHUTDOWN, Errno.ENOTCONN, FaultTarget.ANY, 5, UNLIMITED));
    }
}
