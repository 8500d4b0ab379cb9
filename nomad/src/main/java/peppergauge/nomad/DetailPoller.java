package peppergauge.nomad;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import peppergauge.nomad.api.AgentRotation;
import peppergauge.nomad.api.ApiCall;
import peppergauge.nomad.api.ApiClient;
import peppergauge.nomad.api.BackgroundExecutor;
import peppergauge.nomad.api.BoundedJsonReader;
import peppergauge.nomad.api.ResponseCollector;
import peppergauge.nomad.api.ResponseHead;
import peppergauge.nomad.model.Allocation;
import peppergauge.nomad.model.CheckResults;
import peppergauge.nomad.model.Condition;
import peppergauge.nomad.model.Node;
import peppergauge.nomad.model.Registration;
import peppergauge.nomad.model.ServiceModel;
import peppergauge.request.Scheduler;

/**
 * Polls single allocations, their checks and nodes, one at a time: details that lists do not have, and that no event
 * reports while there is no stream. Failures are ignored. Confined to the event loop's thread.
 */
final class DetailPoller {

    /** Receives the details. */
    interface Listener {

        void onDetail(Allocation allocation);

        void onDetail(Node node);

        /** @param checks condition from the checks of the allocation */
        void onDetail(String allocation, Condition checks);
    }

    /**
     * @param all whether all fields of the response are needed
     * @param read converts the response, in the background, into a task for the event loop
     */
    private record Poll(String id, String target, boolean all, Function<Object, Runnable> read) {}

    private final NomadSettings settings;
    private final ApiClient http;
    private final BackgroundExecutor background;
    private final BoundedJsonReader json;
    private final Scheduler loop;
    private final RandomGenerator random;
    private final ServiceModel model;
    private final BooleanSupplier isStreamAlive;
    private final Listener listener;
    private final AgentRotation agents;
    /** Ids that were polled, successfully or not, so that a failing one does not block the others. */
    private final Set<String> tried = new HashSet<>();

    private int pollCount;
    private ApiCall call;
    private Scheduler.ScheduledTask next;
    private boolean isClosed;

    DetailPoller(
            NomadSettings settings,
            ApiClient http,
            BackgroundExecutor background,
            BoundedJsonReader json,
            Scheduler loop,
            RandomGenerator random,
            ServiceModel model,
            BooleanSupplier isStreamAlive,
            Listener listener) {
        this.settings = settings;
        this.http = http;
        this.background = background;
        this.json = json;
        this.loop = loop;
        this.random = random;
        this.model = model;
        this.isStreamAlive = isStreamAlive;
        this.listener = listener;
        agents = new AgentRotation(settings.agents());
    }

    void start() {
        if (settings.detailIntervalMs() > 0) {
            scheduleNext();
        }
    }

    void close() {
        isClosed = true;
        if (next != null) {
            next.cancel();
        }
        if (call != null) {
            call.abandon();
        }
    }

    private void scheduleNext() {
        if (!isClosed) {
            next = loop.schedule(settings.detailIntervalMs() * (0.5 + random.nextDouble()), this::poll);
        }
    }

    private void poll() {
        Poll poll = choose(model.registrations());
        if (isClosed || poll == null) {
            scheduleNext();
            return;
        }
        String namespace =
                settings.namespace().isEmpty() ? "" : "?namespace=" + ServiceQuery.urlEncode(settings.namespace());
        if (tried.size() > settings.limits().maxEntries()) {
            tried.clear();
        }
        tried.add(poll.id());
        call = http.get(
                agents.current(),
                poll.target() + namespace,
                settings.responseTimeoutMs(),
                settings.responseTimeoutMs(),
                new ResponseCollector(settings.limits().maxBytes()) {
                    @Override
                    protected void onSuccess(ResponseHead head, byte[] body) {
                        background.submit(
                                () -> poll.read().apply(json.read(body, poll.all())), Runnable::run, why -> {});
                        scheduleNext();
                    }

                    @Override
                    protected void onErrorStatus(ResponseHead head) {
                        if (head.status() != 404) {
                            agents.rotate();
                        }
                        scheduleNext();
                    }

                    @Override
                    protected void onNoResponse(String why) {
                        agents.rotate();
                        scheduleNext();
                    }
                });
    }

    /** Returns the next poll: first objects that are not known yet, then all in rotation; null if there are none. */
    private Poll choose(List<Registration> registrations) {
        for (Registration each : registrations) {
            if (!each.node().isEmpty() && !model.knowsNode(each.node()) && !tried.contains(each.node())) {
                return node(each.node());
            }
        }
        for (Registration each : registrations) {
            if (!each.allocation().isEmpty()
                    && !model.knowsAllocation(each.allocation())
                    && !tried.contains(each.allocation())) {
                return allocation(each.allocation());
            }
        }
        if (registrations.isEmpty()) {
            return null;
        }
        Registration each = registrations.get(pollCount / 3 % registrations.size());
        int kind = pollCount % 3;
        pollCount += isStreamAlive.getAsBoolean() ? 3 - kind : 1;
        if (!each.node().isEmpty() && kind == 2) {
            return node(each.node());
        }
        return kind == 0 ? checks(each.allocation()) : allocation(each.allocation());
    }

    private Poll node(String id) {
        return new Poll(id, "/v1/node/" + ServiceQuery.urlEncode(id), false, answer -> {
            Node node = Node.of(answer);
            return () -> listener.onDetail(node);
        });
    }

    private Poll allocation(String id) {
        return new Poll(id, "/v1/allocation/" + ServiceQuery.urlEncode(id), false, answer -> {
            Allocation allocation = Allocation.of(answer);
            return () -> listener.onDetail(allocation);
        });
    }

    private Poll checks(String id) {
        return new Poll(id, "/v1/client/allocation/" + ServiceQuery.urlEncode(id) + "/checks", true, answer -> {
            Condition signs =
                    answer instanceof Map<?, ?> found ? CheckResults.of(found, settings.service()) : Condition.NONE;
            return () -> listener.onDetail(id, signs);
        });
    }
}
