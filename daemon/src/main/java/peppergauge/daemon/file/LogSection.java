package peppergauge.daemon.file;

import peppergauge.operator.Key;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/** Schema of {@code [log]}: the format of log lines. */
public final class LogSection implements Section {

    /** Format of log lines. */
    public enum Format {
        /** Plain text, as {@code serve} writes it. */
        LINES,
        /** One JSON object per line, written through SLF4J. */
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
