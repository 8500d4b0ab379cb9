package peppergauge.daemon.file;

import peppergauge.operator.Key;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/** {@code [log]}: how lines are written. */
public final class LogSection implements Section {

    /** Lines for people, as {@code serve} writes them; or one JSON object each, through SLF4J. */
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
