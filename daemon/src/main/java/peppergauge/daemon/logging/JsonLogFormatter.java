package peppergauge.daemon.logging;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import peppergauge.daemon.admin.JsonWriter;
import peppergauge.log.Log;

/**
 * Formats log lines as one JSON object each: time, level, kind (the event name) and text (its fields). Lines of
 * {@link Log} go to SLF4J loggers named after their kind, as do those of libraries that use SLF4J.
 */
public final class JsonLogFormatter extends Formatter {

    private static final String PREFIX = "peppergauge.";
    private static final Set<String> ERROR_KINDS = Set.of("bug", "event_loop_task_failed", "request_task_failed");

    private JsonLogFormatter() {}

    /** Sends all log lines of the process through this formatter to standard error. */
    public static void install() {
        LogManager.getLogManager().reset();
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new JsonLogFormatter());
        java.util.logging.Logger.getLogger("").addHandler(handler);
        Log.setSink((kind, text, passedOver) -> {
            Logger logger = LoggerFactory.getLogger(PREFIX + kind.replace(' ', '-'));
            logger.atLevel(ERROR_KINDS.contains(kind) ? Level.ERROR : Level.INFO)
                    .log(passedOver == 0 ? text : text + " (" + passedOver + " such lines passed over)");
        });
    }

    @Override
    public String format(LogRecord line) {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("time", Instant.ofEpochMilli(line.getMillis()).toString());
        object.put("level", line.getLevel().getName().toLowerCase(java.util.Locale.ROOT));
        String logger = String.valueOf(line.getLoggerName());
        object.put("kind", logger.startsWith(PREFIX) ? logger.substring(PREFIX.length()) : logger);
        object.put("text", formatMessage(line));
        if (line.getThrown() != null) {
            object.put("thrown", line.getThrown().toString());
        }
        return JsonWriter.write(object) + "\n";
    }
}
