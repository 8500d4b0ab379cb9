package peppergauge.daemon.file;

import peppergauge.operator.Key;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/** Schema of {@code [log]}: the form of log lines. */
public final class LogSection implements Section {

    /** Plain lines, as {@code serve} writes them, or one JSON object a line, through SLF4J. */
    public enum Format {
        LINES,
        JSON
    }

    public static final Key<Format> FORMAT = Key.preset(
            "format",
            Types.oneOf(Format.class),
            "\"lines\"",
            "lines are for people; json is one object a line, for programs. Both go to standard error.");

    public static final Table TABLE = Table.optional("log", "The log; a change needs a restart.", FORMAT);

    @Override
    public Table table() {
        return TABLE;
    }
}
