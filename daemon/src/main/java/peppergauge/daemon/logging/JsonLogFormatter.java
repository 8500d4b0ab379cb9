package peppergauge.daemon.logging;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Locale;
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
 * Formats each log line as a JSON object with the keys {@code time}, {@code level}, {@code kind} (the event name, or
 * the logger of a library) and {@code text} (the fields of the event). Events of {@link Log} are written to SLF4J
 * loggers that are named after the event.
 */
public final class JsonLogFormatter extends Formatter {

    private static final String PREFIX = "peppergauge.";
    /** Events that are logged with level error; all other events are logged with level info. */
    private static final Set<String> ERROR_EVENTS =
            Set.of("extension_shutdown_failed", "event_loop_task_failed", "request_task_failed");

    private JsonLogFormatter() {}

    /** Replaces all log handlers of the process by one that writes with this formatter to standard error. */
    public static void install() {
        LogManager.getLogManager().reset();
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new JsonLogFormatter());
        java.util.logging.Logger.getLogger("").addHandler(handler);
        Log.setSink(Log.inBackground((event, fields, dropped) -> {
            Logger logger = LoggerFactory.getLogger(PREFIX + event.replace(' ', '-'));
            logger.atLevel(ERROR_EVENTS.contains(event) ? Level.ERROR : Level.INFO)
                    .log(dropped == 0 ? fields : fields + " (" + dropped + " such lines dropped)");
        }));
    }

    @Override
    public String format(LogRecord line) {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("time", Instant.ofEpochMilli(line.getMillis()).toString());
        object.put("level", line.getLevel().getName().toLowerCase(Locale.ROOT));
        String logger = String.valueOf(line.getLoggerName());
        object.put("kind", logger.startsWith(PREFIX) ? logger.substring(PREFIX.length()) : logger);
        object.put("text", formatMessage(line));
        if (line.getThrown() != null) {
            object.put("thrown", line.getThrown().toString());
        }
        return JsonWriter.write(object) + "\n";
    }
}
