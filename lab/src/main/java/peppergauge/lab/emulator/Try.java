package peppergauge.lab.emulator;

import peppergauge.request.Message;
import peppergauge.request.ResponseListener;

/** One attempt of a client at its sidecar, which handles it as one request; it receives the sidecar's response. */
final class Try implements ResponseListener {

    final long number;
    final ClientRequest request;
    final EmulatedSidecar sidecar;
    private final Application client;
    private final World world;
    private VirtualTime.Event giveUp;
    private boolean over;
    private int answers;
    /** Backend attempts in flight. */
    int out;

    /** All backend attempts so far. */
    int attempts;
    /** Tick at which the sidecar learned that the attempt has ended; -1 until then. */
    long knownOver = -1;
    /** Zone of the server that responded; -1 until then. */
    int zone = -1;

    private long asked;

    Try(long number, ClientRequest request, EmulatedSidecar sidecar, Application client) {
        this.number = number;
        this.request = request;
        this.sidecar = sidecar;
        this.client = client;
        this.world = request.world;
    }

    /** Sends the request, and waits for the remaining time plus a slack for a response just before the deadline. */
    void ask(double remainingMs, double patienceMs, boolean marked) {
        long began = world.time.now();
        asked = began;
        giveUp = world.time.after(
                Math.min(remainingMs, patienceMs) + world.figures.answerSlackMs,
                () -> giveUp(patienceMs >= remainingMs, began));
        sidecar.open(this, remainingMs, marked);
    }

    private void giveUp(boolean owed, long began) {
        if (owed && !sidecar.troubledSince(began)) {
            world.rulebook.broken(
                    Rulebook.Rule.ANSWER,
                    "session " + number + " of " + sidecar.name() + " had no answer by its deadline");
        }
        over = true;
        world.stations.unanswered(request);
        world.note(Trace.Kind.LEFT, sidecar.index(), number, -1, -1);
        sidecar.left(this);
        client.failed(this);
    }

    private boolean answered(Trace.Kind how) {
        sidecar.over(this);
        sidecar.works(true);
        if (++answers > 1) {
            world.rulebook.broken(
                    Rulebook.Rule.ANSWER, "session " + number + " of " + sidecar.name() + " was answered twice");
        }
        if (over) {
            return false;
        }
        over = true;
        giveUp.cancel();
        world.note(how, sidecar.index(), number, -1, request.number);
        return true;
    }

    @Override
    public void onResponse(Message answer) {
        if (answered(Trace.Kind.SERVED)) {
            world.stations.answered(request, zone, VirtualTime.ms(world.time.now() - asked));
            client.served(this);
        }
    }

    @Override
    public void onRejected(double retryAfterMs) {
        if (answered(Trace.Kind.DENIED)) {
            world.meters.denied();
            world.stations.unanswered(request);
            if (request.unsafe() && request.hasRun()) {
                world.rulebook.broken(
                        Rulebook.Rule.TWICE,
                        "session " + number + " of " + sidecar.name() + " was denied, although its request had run");
            }
            client.denied(this, retryAfterMs);
        }
    }

    @Override
    public void onFailed(boolean late) {
        if (answered(Trace.Kind.FAILED)) {
            world.meters.failed();
            world.stations.unanswered(request);
            client.failed(this);
        }
    }

    @Override
    public void onDuplicateId() {
        world.rulebook.broken(Rulebook.Rule.ANSWER, "session " + number + " was taken for another's copy");
    }

    /** Called when the sidecar's process crashes while the request is pending. */
    void sidecarGone() {
        if (!over) {
            over = true;
            giveUp.cancel();
            world.stations.unanswered(request);
            client.failed(this);
        }
    }
}
