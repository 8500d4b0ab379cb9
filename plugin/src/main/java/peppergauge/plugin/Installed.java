package peppergauge.plugin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.util.Locale;
import java.util.Optional;
import peppergauge.log.Log;
import peppergauge.plugin.abi.Abi;
import peppergauge.plugin.abi.AnswerView;
import peppergauge.plugin.box.Compiled;
import peppergauge.plugin.box.Fault;
import peppergauge.plugin.box.Host;
import peppergauge.plugin.box.Unusable;
import peppergauge.plugin.crew.Crew;
import peppergauge.plugin.crew.Guard;
import peppergauge.plugin.crew.Job;
import peppergauge.plugin.files.PluginSpec;
import peppergauge.plugin.rules.Allowance;
import peppergauge.plugin.rules.Breaker;
import peppergauge.plugin.rules.Budget;
import peppergauge.plugin.rules.HeaderRules;
import peppergauge.plugin.rules.Rule;

/** A plug-in in service: its threads, and what is known of how it does. All but the start is for the loop's thread. */
final class Installed {

    /** So many budgets may be saved up of its share of the processor. */
    private static final double SAVED_BUDGETS = 10;

    private static final long LONGEST_END_MS = 5_000;

    final PluginSpec spec;
    final Rule rule;
    final Budget budget;
    final Crew crew;
    final boolean countsAnswers;
    final boolean ticks;
    final Host host;
    final Tally tally = new Tally();
    private final Breaker breaker;
    private final Allowance allowance;

    /** How often what became of it. */
    static final class Tally {

        long asked;
        long denied;
        long failed;
        long leftOut;
        double spentMs;
        String lastFault = "";
    }

    private Installed(PluginSpec spec, Compiled compiled, Host host, Guard guard) {
        this.spec = spec;
        this.host = host;
        rule = new Rule(spec.name(), spec.onFailure(), new HeaderRules(spec.writeHeaders()), spec.closedRetryAfterMs());
        budget = new Budget(spec.times().callMs());
        crew = new Crew(spec.name(), compiled, host, spec.times(), guard);
        countsAnswers = compiled.countsAnswers();
        ticks = compiled.ticks();
        breaker = new Breaker(spec.failures());
        allowance = new Allowance(spec.share(), SAVED_BUDGETS * spec.times().callMs());
    }

    /**
     * Reads, compiles and starts a plug-in; takes its time, never on the loop's thread.
     *
     * @throws IllegalArgumentException naming the plug-in, and why it is not taken
     */
    static Installed start(PluginSpec spec, Host host, Guard guard) throws InterruptedException {
        try (InputStream in = Files.newInputStream(spec.file())) {
            // One byte over the limit is enough to see that it is too long.
            byte[] bytes = in.readNBytes(spec.limits().moduleBytes() + 1);
            Installed plugin = new Installed(spec, Compiled.of(bytes, spec.capabilities(), spec.limits()), host, guard);
            plugin.crew.start();
            return plugin;
        } catch (IOException | Unusable | Fault refused) {
            throw new IllegalArgumentException("plug-in " + spec.name() + ", " + spec.file() + ": "
                    + (refused instanceof IOException ? "cannot be read" : refused.getMessage()));
        }
    }

    /** Hands a call over; if it cannot be, why. */
    Optional<String> offer(double nowMs, Job call) {
        if (breaker.isOff(nowMs)) {
            tally.leftOut++;
            return Optional.of("left out");
        }
        String refused = !allowance.allows(nowMs)
                ? "its calls take more than its share"
                : !crew.offer(call) ? "too many calls wait" : null;
        if (refused != null) {
            failed(nowMs, refused);
        } else {
            tally.asked++;
        }
        return Optional.ofNullable(refused);
    }

    /** Tells it of an answer, if there is room: what is only counted is worth no failure. */
    void tell(double nowMs, AnswerView answer, Job call) {
        if (countsAnswers && !breaker.isOff(nowMs) && allowance.allows(nowMs)) {
            crew.offer(call);
        }
    }

    void spent(double tookMs) {
        allowance.spent(tookMs);
        tally.spentMs += tookMs;
    }

    void succeeded(double nowMs) {
        breaker.succeeded(nowMs);
    }

    void failed(double nowMs, String why) {
        tally.failed++;
        tally.lastFault = why;
        Log.line("plug-in failed", spec.name() + ": " + why);
        breaker.failed(nowMs)
                .ifPresent(ms -> Log.line(
                        "plug-in",
                        spec.name() + " is left out for "
                                + String.format(Locale.ROOT, "%.0f", ms / 1000) + " s, its sessions go by on-failure = "
                                + spec.onFailure().name().toLowerCase(Locale.ROOT) + "; last: " + why));
    }

    boolean isOff(double nowMs) {
        return breaker.isOff(nowMs);
    }

    /** Waits until all its threads have ended; whether they have. */
    boolean awaitEnd() throws InterruptedException {
        return crew.awaitEnd(LONGEST_END_MS);
    }

    /** The version that it speaks. */
    static int version() {
        return Abi.VERSION;
    }
}
