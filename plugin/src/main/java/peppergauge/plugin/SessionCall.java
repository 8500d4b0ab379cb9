package peppergauge.plugin;

import java.util.List;
import java.util.Locale;
import peppergauge.plugin.abi.LocalTime;
import peppergauge.plugin.abi.SessionView;
import peppergauge.plugin.box.Box;
import peppergauge.plugin.box.Fault;
import peppergauge.plugin.crew.Job;
import peppergauge.plugin.rules.Verdict;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;

/** One plug-in's call about one session: made up on the plug-in's thread, its outcome handed to the loop's. */
final class SessionCall implements Job {

    /** Where the outcome goes, on the plug-in's thread. */
    interface Outcome {

        /** @param verdict null if it failed, and then {@code why} says why */
        void of(SessionCall call, Verdict verdict, String why, double tookMs);
    }

    final Installed plugin;
    private final IncomingRequest opening;
    private final List<Message.Field> fields;
    private final Names names;
    private final Outcome outcome;
    private volatile boolean withdrawn;
    private Verdict verdict;
    /** Whether its failure was counted when its time ran out; for the loop's thread. */
    boolean counted;

    /** The names of what the opening only numbers, and the clock, ms since the epoch. */
    record Names(String className, String tenant, java.util.function.DoubleSupplier nowMs) {}

    SessionCall(Installed plugin, IncomingRequest opening, List<Message.Field> fields, Names names, Outcome outcome) {
        this.plugin = plugin;
        this.opening = opening;
        this.fields = fields;
        this.names = names;
        this.outcome = outcome;
    }

    void withdraw() {
        withdrawn = true;
    }

    @Override
    public boolean withdrawn() {
        return withdrawn;
    }

    @Override
    public void run(Box box) throws Fault {
        double nowMs = names.nowMs().getAsDouble();
        Message message = opening.message();
        verdict = box.onSession(new SessionView(
                names.className(),
                names.tenant(),
                key(message.target()),
                message.method(),
                message.target(),
                told(),
                opening.deadlineMs() - nowMs,
                (int) Math.min(Integer.MAX_VALUE, message.length()),
                opening.clientRetry(),
                LocalTime.of((long) nowMs, plugin.spec.zone())));
    }

    private List<Message.Field> told() {
        return fields.stream()
                .filter(field -> plugin.spec.readHeaders().contains(field.name().toLowerCase(Locale.ROOT)))
                .map(field -> new Message.Field(field.name().toLowerCase(Locale.ROOT), field.value()))
                .toList();
    }

    /** The path's last part. */
    static String key(String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return path.substring(path.lastIndexOf('/') + 1);
    }

    @Override
    public void ended(double tookMs) {
        outcome.of(this, verdict, null, tookMs);
    }

    @Override
    public void failed(String why, double tookMs) {
        outcome.of(this, null, why, tookMs);
    }
}
