package peppergauge.daemon.lines;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import peppergauge.daemon.admin.Json;
import peppergauge.log.Log;

/**
 * Log lines as one JSON object each, on standard error: time, level, kind, text. Ours go to SLF4J loggers named after
 * their kind, and so do those of libraries that use it; its light provider hands them to the Java machine's logging.
 */
public final class JsonLines extends Formatter {

    private static final String PREFIX = "peppergauge.";

    private JsonLines() {}

    public static void install() {
        LogManager.getLogManager().reset();
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new JsonLines());
        java.util.logging.Logger.getLogger("").addHandler(handler);
        Log.to((kind, text, passedOver) -> {
            Logger logger = LoggerFactory.getLogger(PREFIX + kind.replace(' ', '-'));
            logger.atLevel("bug".equals(kind) ? Level.ERROR : Level.INFO)
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
        return Json.write(object) + "\n";
    }
}
