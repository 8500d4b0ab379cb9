package peppergauge.lab.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import peppergauge.lab.wire.Loop;

/**
 * The finite capacity of a service: a bounded number of calls is executed at once, each for a fixed time. Further calls
 * wait in a queue and are dropped after a timeout. For the loop's thread only.
 */
public final class ServiceCapacity {

    /** Unbounded capacity: every call is answered at once. */
    public static final ServiceCapacity UNLIMITED = new ServiceCapacity(null, Integer.MAX_VALUE, 0, 0, 1);

    private final Deque<Call> waiting = new ArrayDeque<>();
    private final Loop loop;
    private final int maxConcurrentCalls;
    private final long callNs;
    private final long queueTimeoutNs;
    private final double answeredShare;
    /** Draws the unanswered calls; if they were counted off, clients that call in a cycle would share one result. */
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1);

    private int executing;
    private Runnable onDropped = () -> {};

    private static final class Call {

        private final Runnable answer;
        private boolean done;

        Call(Runnable answer) {
            this.answer = answer;
        }
    }

    /**
     * Creates the capacity of one service.
     *
     * @param maxConcurrentCalls calls executed at once, at least 1
     * @param callNs time that each call takes
     * @param queueTimeoutNs time after which a waiting call is dropped
     * @param answeredShare share of the calls that are answered, above 0 and up to 1; the others get no response
     */
    public ServiceCapacity(Loop loop, int maxConcurrentCalls, long callNs, long queueTimeoutNs, double answeredShare) {
        this.loop = loop;
        this.maxConcurrentCalls = maxConcurrentCalls;
        this.callNs = callNs;
        this.queueTimeoutNs = queueTimeoutNs;
        this.answeredShare = answeredShare;
    }

    /** Sets the callback for each call that is dropped. */
    public void onCallDropped(Runnable callback) {
        onDropped = callback;
    }

    /** Queues a call. Runs one of the callbacks in the end, or none if the call is not to be answered. */
    void wait(Runnable answer, Runnable dropped) {
        if (callNs == 0) {
            answer.run();
            return;
        }
        Call call = new Call(answer);
        waiting.add(call);
        loop.at(System.nanoTime() + queueTimeoutNs, () -> {
            if (!call.done) {
                call.done = true;
                waiting.remove(call);
                onDropped.run();
                dropped.run();
            }
        });
        startWaiting();
    }

    private void startWaiting() {
        while (executing < maxConcurrentCalls && !waiting.isEmpty()) {
            Call call = waiting.poll();
            call.done = true;
            executing++;
            loop.at(System.nanoTime() + callNs, () -> {
                executing--;
                if (answeredShare == 1 || random.nextDouble() < answeredShare) {
                    call.answer.run();
                }
                startWaiting();
            });
        }
    }
}
