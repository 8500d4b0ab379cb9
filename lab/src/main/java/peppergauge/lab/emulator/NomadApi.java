package peppergauge.lab.emulator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.lab.nomad.ApiFault;
import peppergauge.lab.nomad.ApiRequest;
import peppergauge.lab.nomad.ApiResponse;
import peppergauge.lab.nomad.Cluster;
import peppergauge.nomad.api.ApiCall;
import peppergauge.nomad.api.ApiClient;
import peppergauge.nomad.api.ResponseHandler;
import peppergauge.nomad.api.ResponseHead;
import peppergauge.request.Scheduler;

/** Nomad's API over a {@link Cluster} in virtual time: blocking queries, event streams, single reads, and faults. */
final class NomadApi {

    private static final double ONE_WAY_DELAY_MS = 2;
    private static final double HEARTBEAT_MS = 10_000;
    private static final double DELAYED_MS = 1_000;
    private static final double TRICKLE_MS = 50;
    /** Maximum share of the requested wait that Nomad adds as jitter. */
    private static final double MAX_ADDED_WAIT_SHARE = 1.0 / 16;

    private static final byte[] HUGE = new byte[8 << 20];

    private final VirtualTime time;
    private final Cluster cluster;
    private final UniformRandomProvider random;
    /** Blocking queries and open streams in order of arrival. */
    private final Set<EmulatedCall> open = new LinkedHashSet<>();

    private final List<ApiFault> faults = new ArrayList<>();

    NomadApi(VirtualTime time, Cluster cluster, UniformRandomProvider random) {
        this.time = time;
        this.cluster = cluster;
        this.random = random;
    }

    /**
     * Returns the API's client for one process of a sidecar. Responses run on the process's event loop, and are dropped
     * after the process has ended.
     */
    ApiClient from(Scheduler loop) {
        return (agent, target, silenceMs, wholeMs, sink) -> {
            EmulatedCall call = new EmulatedCall(loop, ApiRequest.of(target), silenceMs, sink);
            call.start(wholeMs);
            return call;
        };
    }

    /** Notifies open queries and streams that lists or events have changed. */
    void changed() {
        for (EmulatedCall each : List.copyOf(open)) {
            each.answerIfChanged();
        }
    }

    /** Begins a fault and breaks all open calls. Of several concurrent faults the most recent is effective. */
    void fault(ApiFault fault, double ms) {
        faults.add(fault);
        List.copyOf(open).forEach(call -> call.broken("Connection reset"));
        time.after(ms, () -> faults.remove(fault));
    }

    private ApiFault fault() {
        return faults.isEmpty() ? ApiFault.NONE : faults.get(faults.size() - 1);
    }

    /** One call, with the client's and the API's side. */
    private final class EmulatedCall implements ApiCall {

        private final Scheduler loop;
        private final ApiRequest request;
        private final double silenceMs;
        private final ResponseHandler sink;
        private boolean over;
        private Scheduler.ScheduledTask deadlineTimer;
        private Scheduler.ScheduledTask silenceTimer;
        /** Tick of the last arrival; data sent on one connection arrives in order. */
        private long lastArrivalTick;

        private long nextEvent;
        private boolean answered;

        EmulatedCall(Scheduler loop, ApiRequest request, double silenceMs, ResponseHandler sink) {
            this.loop = loop;
            this.request = request;
            this.silenceMs = silenceMs;
            this.sink = sink;
        }

        // ---- Client side, on the sidecar's event loop ----

        void start(double wholeMs) {
            if (wholeMs < Double.POSITIVE_INFINITY) {
                deadlineTimer = loop.schedule(wholeMs, () -> abort("not complete after " + (long) wholeMs + " ms"));
            }
            restartSilenceTimer();
            time.after(oneWayDelayMs(), this::arrived);
        }

        private void restartSilenceTimer() {
            if (silenceTimer != null) {
                silenceTimer.cancel();
            }
            if (!over) {
                silenceTimer = loop.schedule(silenceMs, () -> abort("nothing for " + (long) silenceMs + " ms"));
            }
        }

        @Override
        public void abort(String why) {
            if (finish()) {
                sink.onFailure(why);
            }
        }

        @Override
        public void abandon() {
            finish();
        }

        private boolean finish() {
            if (over) {
                return false;
            }
            over = true;
            open.remove(this);
            if (deadlineTimer != null) {
                deadlineTimer.cancel();
            }
            silenceTimer.cancel();
            return true;
        }

        // ---- API side ----

        private void arrived() {
            ApiFault fault = fault();
            if (over) {
                return;
            }
            switch (fault) {
                case REFUSE -> broken("Connection refused");
                case RESET -> broken("Connection reset");
                case SILENT -> open.add(this);
                case DELAY -> time.after(DELAYED_MS, this::serve);
                case HUGE -> {
                    send(head(new ApiResponse(200, 1, true, 0, 0, "")), 0);
                    send(() -> sink.onBody(ByteBuffer.wrap(HUGE)), 0);
                }
                default -> {
                    Optional<ApiResponse> faultResponse = ApiResponse.faultResponse(fault);
                    if (faultResponse.isPresent()) {
                        answer(faultResponse.get());
                    } else {
                        serve();
                    }
                }
            }
        }

        private void serve() {
            switch (request.kind()) {
                case "list" -> {
                    open.add(this);
                    double waitMs = request.waitMs() * (1 + MAX_ADDED_WAIT_SHARE * random.nextDouble());
                    answerIfChanged();
                    if (!answered) {
                        time.after(waitMs, this::list);
                    }
                }
                case "stream" -> stream();
                default -> answer(ApiResponse.object(cluster, request));
            }
        }

        /** Answers if the data that this call waits for has changed. */
        void answerIfChanged() {
            if (over || fault() == ApiFault.SILENT) {
                return;
            }
            if (request.kind().equals("stream")) {
                events();
            } else if (request.index() == 0
                    || cluster.list(request.service()).index() > request.index()
                    || fault() == ApiFault.OLDER
                    || fault() == ApiFault.UNSURE) {
                list();
            }
        }

        private void list() {
            if (!over && !answered) {
                answered = true;
                open.remove(this);
                answer(ApiResponse.list(cluster, request.service(), fault()));
            }
        }

        private void stream() {
            if (fault() == ApiFault.NO_STREAM) {
                answer(ApiResponse.faultResponse(ApiFault.FORBIDDEN).orElseThrow());
                return;
            }
            nextEvent = request.index() == 0 ? cluster.nextIndex() : request.index();
            open.add(this);
            send(head(new ApiResponse(200, 0, true, 0, 0, "")), 0);
            events();
            scheduleHeartbeat();
        }

        private void events() {
            for (Cluster.Event each : cluster.events(nextEvent)) {
                nextEvent = each.index() + 1;
                if (fault() == ApiFault.HEARTBEATS_ONLY || !request.wants(each)) {
                    continue;
                }
                if (fault() == ApiFault.HALF_LINE) {
                    line(each.line().substring(0, each.line().length() / 2));
                    broken("Premature end of chunk coded message body");
                    return;
                }
                line(each.line() + '\n');
            }
        }

        private void scheduleHeartbeat() {
            time.after(HEARTBEAT_MS, () -> {
                if (!over) {
                    line("{}\n");
                    scheduleHeartbeat();
                }
            });
        }

        private void line(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            send(() -> sink.onBody(ByteBuffer.wrap(bytes)), bytes.length);
        }

        private void answer(ApiResponse reply) {
            byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
            send(head(reply), 0);
            send(() -> sink.onBody(ByteBuffer.wrap(body)), body.length);
            send(
                    () -> {
                        if (finish()) {
                            sink.onComplete();
                        }
                    },
                    0);
        }

        private Delivery head(ApiResponse reply) {
            return () -> sink.onHead(new ResponseHead(
                    reply.status(),
                    reply.index(),
                    reply.lastContactMs(),
                    reply.knownLeader(),
                    1e3 * reply.retryAfterS()));
        }

        void broken(String why) {
            open.remove(this);
            send(() -> abort(why), 0);
        }

        /** Delivers data to the client; an exception of the client ends the connection. */
        private void send(Delivery delivery, int bytes) {
            double slowMs = fault() == ApiFault.TRICKLE ? TRICKLE_MS * bytes : 0;
            lastArrivalTick = Math.max(lastArrivalTick, time.now()) + VirtualTime.ticks(slowMs);
            lastArrivalTick = Math.max(lastArrivalTick, time.now() + VirtualTime.ticks(oneWayDelayMs()));
            time.at(
                    lastArrivalTick,
                    () -> loop.execute(() -> {
                        if (over) {
                            return;
                        }
                        restartSilenceTimer();
                        try {
                            delivery.deliver();
                        } catch (IOException refused) {
                            abort(refused.getMessage());
                        }
                    }));
        }
    }

    private double oneWayDelayMs() {
        return ONE_WAY_DELAY_MS * (0.5 + random.nextDouble());
    }

    /** Handler of delivered data. */
    private interface Delivery {
        void deliver() throws IOException;
    }
}
