package peppergauge.fleet.client;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import peppergauge.SidecarExtension;
import peppergauge.decision.LoadBalancer;
import peppergauge.fleet.table.ZoneWeightMath;
import peppergauge.promises.ZoneWeights;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.settings.SettingsNames;

/** Sidecar extension that runs the client of the fleet service, by section {@code [fleet]} of a daemon's file. */
public final class FleetExtension implements SidecarExtension.RequestInterceptor {

    private final FleetClientConfig settings;
    private TrafficCounter counter;
    private KeyStatistics keys;
    private ZoneWeightedLoadBalancer loadBalancer;
    private FleetClient client;

    public FleetExtension(FleetClientConfig settings) {
        this.settings = settings;
    }

    @Override
    public LoadBalancer wrapLoadBalancer(LoadBalancer wrapped, Context context) {
        counter = new TrafficCounter(context.settingsNames());
        keys = SampledKeyStatistics.of(
                settings.maxSampledKeys(), context.settingsNames().zones());
        loadBalancer = new ZoneWeightedLoadBalancer(wrapped, counter, keys);
        return loadBalancer;
    }

    @Override
    public RequestHandler wrapRequestHandler(RequestHandler next, Context context) {
        return new CountingRequestHandler(
                next,
                counter,
                keys,
                context.settingsNames().tenants(),
                context.clock(),
                new CountingRequestHandler.EventLoopExecutor() {
                    @Override
                    public boolean isEventLoopThread() {
                        return context.loop().isEventLoopThread();
                    }

                    @Override
                    public void execute(Runnable task) {
                        context.loop().execute(task);
                    }
                });
    }

    @Override
    public void onStarting(RequestHandler handler, RequestDispatcher dispatcher, Context context) {
        client = new FleetClient(
                settings,
                context.config().name(),
                context.config().seed(),
                System::currentTimeMillis,
                future -> context.loop().execute(() -> collect(future)),
                weights -> loadBalancer.setZoneWeights(weightsByIndex(weights, context.settingsNames())));
        client.start();
    }

    private void collect(CompletableFuture<FleetClient.Counters> future) {
        future.complete(new FleetClient.Counters(counter.copy(), keys.snapshot()));
    }

    /** Returns weights by index of tenant and of zone, empty for neutral; names unknown to this sidecar are ignored. */
    static double[][] weightsByIndex(ZoneWeights weights, SettingsNames names) {
        if (weights.weights().isEmpty()) {
            return new double[0][];
        }
        double[][] byIndex = new double[names.tenants().size()][names.zones().size()];
        for (int tenant = 0; tenant < byIndex.length; tenant++) {
            Arrays.fill(byIndex[tenant], 1);
            for (int zone = 0; zone < byIndex[tenant].length; zone++) {
                byIndex[tenant][zone] = ZoneWeightMath.weight(
                        weights, names.tenants().get(tenant), names.zones().get(zone));
            }
        }
        return byIndex;
    }

    /** Returns the client's status page. Any thread. */
    public Map<String, Object> report() {
        return client == null ? Map.of() : client.report();
    }

    @Override
    public void onStopped() {
        if (client != null) {
            client.close();
        }
    }
}
