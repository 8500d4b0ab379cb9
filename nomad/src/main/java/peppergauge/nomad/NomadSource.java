package peppergauge.nomad;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.log.Log;
import peppergauge.membership.ReportedEndpoint;
import peppergauge.membership.ReportedStatus;
import peppergauge.membership.SourceUpdate;
import peppergauge.nomad.api.ApiClient;
import peppergauge.nomad.api.BackgroundExecutor;
import peppergauge.nomad.api.BoundedJsonReader;
import peppergauge.nomad.api.TokenFile;
import peppergauge.nomad.model.Allocation;
import peppergauge.nomad.model.Condition;
import peppergauge.nomad.model.Node;
import peppergauge.nomad.model.Registration;
import peppergauge.nomad.model.ServiceModel;
import peppergauge.request.Clock;
import peppergauge.request.Scheduler;

/**
 * Reads the endpoints of one service from Nomad. At most one list query, one event stream and one detail poll are open
 * at a time. Methods are called on the event loop's thread, except {@link #start} and {@link #close}.
 */
public final class NomadSource {

    /** Interval at which the token file is read. */
    private static final double TOKEN_RELOAD_INTERVAL_MS = 5_000;

    /** Number of consecutive lists with changes the stream did not report after which the stream is opened again. */
    private static final int MAX_LISTS_WITHOUT_EVENTS = 2;

    /** Delay of the report of servers whose node was not known; a little longer than the model waits for a node. */
    private static final int NODE_WAIT_CHECK_MS = 2_100;

    /** Receives the source's updates. */
    public interface UpdateListener {

        /** Processes an update; returns whether it was accepted as the source's present state. */
        boolean onUpdate(SourceUpdate update);

        /** Returns whether a loss or an older list awaits confirmation. */
        boolean isConfirmationPending(String source);
    }

    private final String name;
    private final NomadSettings settings;
    private final Clock clock;
    private final Scheduler loop;
    private final RandomGenerator random;
    private final UpdateListener updateListener;
    private final ServiceModel model;
    private final TokenFile token;
    private final ServiceQuery query;
    private final EventStream stream;
    private final DetailPoller detailPoller;
    private long highestIndex;
    private boolean isQueryLost;
    private long serviceEvents;
    private long eventsAtList;
    private int listsWithoutEvents;
    private volatile boolean isClosed;

    /**
     * Creates a source that is started by {@link #start}.
     *
     * @param name name of the source, as in the membership settings
     */
    public NomadSource(
            String name,
            NomadSettings settings,
            ApiClient http,
            TokenFile token,
            BackgroundExecutor background,
            Scheduler loop,
            Clock clock,
            RandomGenerator random,
            UpdateListener updateListener) {
        this.name = name;
        this.settings = settings;
        this.clock = clock;
        this.loop = loop;
        this.random = random;
        this.updateListener = updateListener;
        model = new ServiceModel(
                settings.mapping(),
                settings.drainIneligible(),
                settings.limits().maxEntries());
        this.token = token;
        BoundedJsonReader json = new BoundedJsonReader(settings.limits());
        query = new ServiceQuery(settings, http, background, json, token, loop, clock, random, new QueryListener());
        stream = new EventStream(settings, http, background, json, loop, random, new StreamListener());
        detailPoller = new DetailPoller(
                settings, http, background, json, loop, random, model, stream::isAlive, new DetailListener());
    }

    /**
     * Starts polling; may be called from any thread.
     *
     * @param spreadMs time within which the first query is sent, at random
     */
    public void start(double spreadMs) {
        loop.execute(() -> token.reload(changed -> {
            query.start(random.nextDouble() * spreadMs);
            detailPoller.start();
            scheduleTokenReload();
        }));
    }

    private void scheduleTokenReload() {
        if (!isClosed && settings.tokenFile().isPresent()) {
            loop.schedule(TOKEN_RELOAD_INTERVAL_MS, () -> token.reload(changed -> scheduleTokenReload()));
        }
    }

    /** Ends all calls and sends no more updates; may be called from any thread. */
    public void close() {
        isClosed = true;
        loop.execute(() -> {
            query.close();
            stream.close();
            detailPoller.close();
        });
    }

    /** Returns the kind and weight of a server for log lines; empty if the server is not known. */
    String describe(String id) {
        return model.describe(id);
    }

    private boolean sendUpdate(SourceUpdate update) {
        return !isClosed && updateListener.onUpdate(update);
    }

    /** Reports the selected servers as changed. */
    private void reportAffected(long version, Predicate<Registration> isAffected) {
        List<ReportedEndpoint> servers = model.affected(clock.nowMs(), isAffected);
        if (!servers.isEmpty()) {
            sendUpdate(new SourceUpdate.Changes(name, version, servers));
        }
    }

    private void processAllocation(Allocation allocation) {
        if (model.onAllocation(clock.nowMs(), allocation)) {
            reportAffected(0, each -> each.allocation().equals(allocation.id()));
        }
    }

    private void processNode(Node node) {
        if (model.onNode(clock.nowMs(), node)) {
            reportAffected(0, each -> each.node().equals(node.id()));
        }
    }

    private final class QueryListener implements ServiceQuery.Listener {

        @Override
        public long onList(long index, boolean authoritative, List<Registration> list) {
            double nowMs = clock.nowMs();
            isQueryLost = false;
            compareWithStream(list);
            boolean isNewer = index >= highestIndex;
            if (isNewer && authoritative) {
                model.onList(nowMs, list);
            } else if (isNewer) {
                list.forEach(each -> model.onRegistered(nowMs, each));
            }
            List<ReportedEndpoint> servers =
                    isNewer && authoritative ? model.servers(nowMs) : model.preview(nowMs, list);
            boolean accepted = sendUpdate(new SourceUpdate.CompleteList(name, index, authoritative, servers));
            if (accepted && !isNewer) {
                model.onList(nowMs, list);
            }
            highestIndex = accepted ? index : highestIndex;
            if (settings.useStream()) {
                stream.watchJobs(index, model.jobs());
            }
            if (model.isAnyWaitingForNode(nowMs)) {
                loop.schedule(NODE_WAIT_CHECK_MS, () -> reportAffected(0, each -> true));
            }
            return accepted ? index : 0;
        }

        /** Opens the stream again if it sends heartbeats but lacks changes that the lists have. */
        private void compareWithStream(List<Registration> list) {
            boolean hasEvents = serviceEvents != eventsAtList;
            eventsAtList = serviceEvents;
            listsWithoutEvents = !stream.isAlive() || hasEvents || highestIndex == 0 || model.matches(list)
                    ? 0
                    : listsWithoutEvents + 1;
            if (listsWithoutEvents >= MAX_LISTS_WITHOUT_EVENTS) {
                listsWithoutEvents = 0;
                stream.reopen();
            }
        }

        @Override
        public void onLost(String error) {
            isQueryLost = true;
            if (!stream.isAlive()) {
                sendUpdate(new SourceUpdate.Lost(name));
            }
        }

        @Override
        public boolean isConfirmationPending() {
            return updateListener.isConfirmationPending(name);
        }

        @Override
        public boolean isStreamAlive() {
            return stream.isAlive();
        }
    }

    private final class StreamListener implements EventStream.Listener {

        @Override
        public void onEvent(long index, String topic, String type, String key, Map<?, ?> payload) {
            try {
                switch (topic) {
                    case "Service" -> processServiceEvent(index, type, Registration.of(payload.get("Service")));
                    case "Allocation" -> processAllocation(Allocation.of(payload.get("Allocation")));
                    case "Node" -> processNode(Node.of(payload.get("Node")));
                    default -> {}
                }
            } catch (IllegalArgumentException invalid) {
                Log.event("nomad_event_ignored", "error", invalid.getMessage());
            }
        }

        private void processServiceEvent(long index, String type, Registration registration) {
            serviceEvents++;
            if (index < highestIndex) {
                // A newer list was processed already.
                return;
            }
            highestIndex = index;
            if (type.equals("ServiceDeregistration")) {
                if (model.onDeregistered(registration.id())) {
                    Endpoint endpoint = new Endpoint(registration.id(), 0, 0, EndpointState.REMOVED, 0);
                    sendUpdate(new SourceUpdate.Changes(
                            name,
                            index,
                            List.of(new ReportedEndpoint(
                                    endpoint,
                                    registration.address(),
                                    ReportedStatus.STOPPED,
                                    "its registration is gone"))));
                }
            } else if (model.onRegistered(clock.nowMs(), registration)) {
                reportAffected(index, each -> each.id().equals(registration.id()));
                stream.watchJobs(index, model.jobs());
            }
        }

        @Override
        public void onAlive() {
            sendUpdate(new SourceUpdate.Alive(name));
        }

        @Override
        public void onLost() {
            query.expedite();
            if (isQueryLost) {
                sendUpdate(new SourceUpdate.Lost(name));
            }
        }
    }

    private final class DetailListener implements DetailPoller.Listener {

        @Override
        public void onAllocation(Allocation allocation) {
            processAllocation(allocation);
        }

        @Override
        public void onNode(Node node) {
            processNode(node);
        }

        @Override
        public void onChecks(String allocation, Condition condition) {
            if (model.onChecks(allocation, condition)) {
                reportAffected(0, each -> each.allocation().equals(allocation));
            }
        }
    }
}
