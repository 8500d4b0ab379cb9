package peppergauge.nomad;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.apache.hc.core5.http.HttpStatus;
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
 * Polls single allocations, their checks and their nodes, one at a time. Lists lack these details, and events report
 * only some of them. A failed poll is skipped. Confined to the event loop's thread.
 */
final class DetailPoller {

    /** A registration is polled for its checks, its allocation and its node, in this order. */
    private static final int POLLS_PER_REGISTRATION = 3;

    private static final int CHECKS_STEP = 0;
    private static final int NODE_STEP = 2;

    /** Receives the results of the polls. */
    interface Listener {

        /** An allocation was read. */
        void onAllocation(Allocation allocation);

        /** A node was read. */
        void onNode(Node node);

        /** The check results of an allocation were read. */
        void onChecks(String allocation, Condition condition);
    }

    /**
     * A poll of one object.
     *
     * @param keepAllFields whether all fields of the response are needed
     * @param converter converts the response, in the background, into a task for the event loop
     */
    private record Poll(String id, String target, boolean keepAllFields, Function<Object, Runnable> converter) {}

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
    /** Ids that were polled, successfully or not, so that an object that cannot be read does not block the others. */
    private final Set<String> polledIds = new HashSet<>();

    private int pollCount;
    private ApiCall currentCall;
    private Scheduler.ScheduledTask scheduledPoll;
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
        if (scheduledPoll != null) {
            scheduledPoll.cancel();
        }
        if (currentCall != null) {
            currentCall.abandon();
        }
    }

    private void scheduleNext() {
        if (!isClosed) {
            scheduledPoll = loop.schedule(settings.detailIntervalMs() * (0.5 + random.nextDouble()), this::poll);
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
        if (polledIds.size() > settings.limits().maxEntries()) {
            polledIds.clear();
        }
        polledIds.add(poll.id());
        currentCall = http.get(
                agents.current(),
                poll.target() + namespace,
                settings.responseTimeoutMs(),
                settings.responseTimeoutMs(),
                new ResponseCollector(settings.limits().maxBytes()) {
                    @Override
                    protected void onSuccess(ResponseHead head, byte[] body) {
                        background.submit(
                                () -> poll.converter().apply(json.read(body, poll.keepAllFields())),
                                Runnable::run,
                                error -> {});
                        scheduleNext();
                    }

                    @Override
                    protected void onErrorStatus(ResponseHead head) {
                        if (head.status() != HttpStatus.SC_NOT_FOUND) {
                            agents.rotate();
                        }
                        scheduleNext();
                    }

                    @Override
                    protected void onNoResponse(String error) {
                        agents.rotate();
                        scheduleNext();
                    }
                });
    }

    /** Returns the next poll: objects that are not known yet first, then all in rotation; null if there are none. */
    private Poll choose(List<Registration> registrations) {
        for (Registration each : registrations) {
            if (!each.node().isEmpty() && !model.knowsNode(each.node()) && !polledIds.contains(each.node())) {
                return nodePoll(each.node());
            }
        }
        for (Registration each : registrations) {
            if (!each.allocation().isEmpty()
                    && !model.knowsAllocation(each.allocation())
                    && !polledIds.contains(each.allocation())) {
                return allocationPoll(each.allocation());
            }
        }
        if (registrations.isEmpty()) {
            return null;
        }
        Registration each = registrations.get(pollCount / POLLS_PER_REGISTRATION % registrations.size());
        int step = pollCount % POLLS_PER_REGISTRATION;
        // The stream reports allocations and nodes, but no checks.
        pollCount += isStreamAlive.getAsBoolean() ? POLLS_PER_REGISTRATION - step : 1;
        if (!each.node().isEmpty() && step == NODE_STEP) {
            return nodePoll(each.node());
        }
        return step == CHECKS_STEP ? checksPoll(each.allocation()) : allocationPoll(each.allocation());
    }

    private Poll nodePoll(String id) {
        return new Poll(id, "/v1/node/" + ServiceQuery.urlEncode(id), false, response -> {
            Node node = Node.of(response);
            return () -> listener.onNode(node);
        });
    }

    private Poll allocationPoll(String id) {
        return new Poll(id, "/v1/allocation/" + ServiceQuery.urlEncode(id), false, response -> {
            Allocation allocation = Allocation.of(response);
            return () -> listener.onAllocation(allocation);
        });
    }

    private Poll checksPoll(String id) {
        return new Poll(id, "/v1/client/allocation/" + ServiceQuery.urlEncode(id) + "/checks", true, response -> {
            Condition condition = response instanceof Map<?, ?> results
                    ? CheckResults.of(results, settings.service())
                    : Condition.NONE;
            return () -> listener.onChecks(id, condition);
        });
    }
}
