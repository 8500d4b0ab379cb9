package peppergauge.lab.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import peppergauge.lab.wire.Loop;

/**
 * The finite capacity of a service: so many calls are worked on at once, each for so long; the others wait in turn, and
 * who waited too long is given up. For the loop's thread only.
 */
public final class Turns {

    /** Without a bound: whoever calls is answered at once. */
    public static final Turns FREE = new Turns(null, Integer.MAX_VALUE, 0, 0, 1);

    private final Deque<Call> waiting = new ArrayDeque<>();
    private final Loop loop;
    private final int most;
    private final long eachNs;
    private final long patienceNs;
    private final double answered;
    /** Drawn and not counted off: callers that come in turns would else have the same one answered each time. */
    private final UniformRandomProvider luck = RandomSource.XO_SHI_RO_256_PP.create(1);

    private int inWork;
    private Runnable givenUpCalls = () -> {};

    private static final class Call {

        private final Runnable answer;
        private boolean over;

        Call(Runnable answer) {
            this.answer = answer;
        }
    }

    /**
     * A service's.
     *
     * @param most calls in work at once, at least 1
     * @param eachNs what each takes
     * @param patienceNs after which a call that still waits is given up
     * @param answered share of the calls that are answered, over 0 up to 1; the others have their turn for nothing
     */
    public Turns(Loop loop, int most, long eachNs, long patienceNs, double answered) {
        this.loop = loop;
        this.most = most;
        this.eachNs = eachNs;
        this.patienceNs = patienceNs;
        this.answered = answered;
    }

    /** Who is told of each call that is given up. */
    public void onGivenUp(Runnable told) {
        givenUpCalls = told;
    }

    /** Has a call wait for its turn; one of the two is run in the end, or none where it is not answered. */
    void wait(Runnable answer, Runnable givenUp) {
        if (eachNs == 0) {
            answer.run();
            return;
        }
        Call call = new Call(answer);
        waiting.add(call);
        loop.at(System.nanoTime() + patienceNs, () -> {
            if (!call.over) {
                call.over = true;
                waiting.remove(call);
                givenUpCalls.run();
                givenUp.run();
            }
        });
        next();
    }

    private void next() {
        while (inWork < most && !waiting.isEmpty()) {
            Call call = waiting.poll();
            call.over = true;
            inWork++;
            loop.at(System.nanoTime() + eachNs, () -> {
                inWork--;
                if (answered == 1 || luck.nextDouble() < answered) {
                    call.answer.run();
                }
                next();
            });
        }
    }
}
