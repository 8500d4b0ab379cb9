package peppergauge.plugin;

import java.util.ArrayList;
import java.util.List;
import peppergauge.plugin.rules.PluginChain;

/**
 * The plug-ins of one version of the operator file. A request that started with a set finishes with it, also after a
 * reload. Event-loop thread only.
 */
final class PluginSet {

    static final PluginSet EMPTY = new PluginSet(List.of(), List.of());

    /** The plug-ins of one request class, and their chain. */
    record ClassPlugins(PluginChain chain, List<RunningPlugin> plugins) {}

    private final List<RunningPlugin> all;
    private final List<ClassPlugins> byClass = new ArrayList<>();
    final boolean observesResponses;
    private int requestsInProgress;
    private boolean retired;

    /** @param classes names of the request classes, in the order of the settings */
    PluginSet(List<RunningPlugin> all, List<String> classes) {
        this.all = List.copyOf(all);
        observesResponses = all.stream().anyMatch(plugin -> plugin.observesResponses);
        for (String name : classes) {
            List<RunningPlugin> plugins = all.stream()
                    .filter(plugin -> plugin.spec.classes().isEmpty()
                            || plugin.spec.classes().contains(name))
                    .toList();
            PluginChain chain = new PluginChain(
                    plugins.stream().map(plugin -> plugin.policy).toList());
            byClass.add(new ClassPlugins(chain, plugins));
        }
    }

    ClassPlugins ofClass(int requestClass) {
        return byClass.get(requestClass);
    }

    List<RunningPlugin> all() {
        return all;
    }

    boolean isEmpty() {
        return all.isEmpty();
    }

    void requestStarted() {
        requestsInProgress++;
    }

    void requestEnded() {
        requestsInProgress--;
        shutDownIfIdle();
    }

    /** Shuts down the instance pools once the last request of this set has ended; no request may start any more. */
    void retire() {
        retired = true;
        shutDownIfIdle();
    }

    private void shutDownIfIdle() {
        if (retired && requestsInProgress == 0) {
            all.forEach(plugin -> plugin.pool.shutdown());
        }
    }
}
