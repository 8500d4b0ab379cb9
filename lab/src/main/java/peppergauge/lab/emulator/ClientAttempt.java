package peppergauge.lab.emulator;

import peppergauge.request.Message;
import peppergauge.request.ResponseListener;

/**
 * One attempt of a client at its sidecar, which handles it as one request; it receives the sidecar's response. The one
 * of package play only holds the state of an attempt whose client and sidecar communicate on sockets.
 */
final class ClientAttempt implements ResponseListener {

    final long number;
    final ClientRequest request;
    final EmulatedSidecar sidecar;
    private final Application application;
    private final EmulationContext context;
    private VirtualTime.Event giveUp;
    private boolean ended;
    private int responses;
    /** Backend attempts in flight. */
    int attemptsInFlight;

    /** All backend attempts so far. */
    int backendAttempts;
    /** Tick at which the sidecar learned that the attempt has ended; -1 until then. */
    long endedTick = -1;
    /** Zone of the server that responded; -1 until then. */
    int zone = -1;

    private long sentTick;

    ClientAttempt(long number, ClientRequest request, EmulatedSidecar sidecar, Application application) {
        this.number = number;
        this.request = request;
        this.sidecar = sidecar;
        this.application = application;
        this.context = request.context;
    }

    /** Sends the request, and waits for the remaining time plus a slack for a response just before the deadline. */
    void send(double remainingMs, double patienceMs, boolean marked) {
        long startedTick = context.time.now();
        sentTick = startedTick;
        giveUp = context.time.after(
                Math.min(remainingMs, patienceMs) + context.settings.answerSlackMs,
                () -> giveUp(patienceMs >= remainingMs, startedTick));
        sidecar.open(this, remainingMs, marked);
    }

    private void giveUp(boolean owed, long startedTick) {
        if (owed && !sidecar.pausedSince(startedTick)) {
            context.rulebook.report(
                    Rulebook.Rule.ANSWER,
                    "session " + number + " of " + sidecar.name() + " had no answer by its deadline");
        }
        ended = true;
        context.fleetService.unanswered(request);
        context.note(Trace.Kind.LEFT, sidecar.index(), number, -1, -1);
        sidecar.cancel(this);
        application.failed(this);
    }

    private boolean answered(Trace.Kind how) {
        sidecar.onEnded(this);
        sidecar.spendWork(true);
        if (++responses > 1) {
            context.rulebook.report(
                    Rulebook.Rule.ANSWER, "session " + number + " of " + sidecar.name() + " was answered twice");
        }
        if (ended) {
            return false;
        }
        ended = true;
        giveUp.cancel();
        context.note(how, sidecar.index(), number, -1, request.number);
        return true;
    }

    @Override
    public void onResponse(Message answer) {
        if (answered(Trace.Kind.SERVED)) {
            context.fleetService.answered(request, zone, VirtualTime.ms(context.time.now() - sentTick));
            application.served(this);
        }
    }

    @Override
    public void onRejected(double retryAfterMs) {
        if (answered(Trace.Kind.DENIED)) {
            context.meters.countRejected();
            context.fleetService.unanswered(request);
            if (request.isNonIdempotent() && request.isExecuted()) {
                context.rulebook.report(
                        Rulebook.Rule.TWICE,
                        "session " + number + " of " + sidecar.name() + " was denied, although its request had run");
            }
            application.denied(this, retryAfterMs);
        }
    }

    @Override
    public void onFailed(boolean late) {
        if (answered(Trace.Kind.FAILED)) {
            context.meters.failed();
            context.fleetService.unanswered(request);
            application.failed(this);
        }
    }

    @Override
    public void onDuplicateId() {
        context.rulebook.report(Rulebook.Rule.ANSWER, "session " + number + " was taken for another's copy");
    }

    /** Called when the sidecar's process crashes while the request is pending. */
    void onSidecarCrashed() {
        if (!ended) {
            ended = true;
            giveUp.cancel();
            context.fleetService.unanswered(request);
            application.failed(this);
        }
    }
}
