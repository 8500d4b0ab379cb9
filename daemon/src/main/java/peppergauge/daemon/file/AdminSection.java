package peppergauge.daemon.file;

import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/** Schema of {@code [admin]}: the address of the admin socket. */
public final class AdminSection implements Section {

    public static final Key<String> SOCKET = Key.optional(
            "socket",
            Types.text(1, 100),
            "\"/run/peppergauge.sock\"",
            "A path for a Unix socket, which only its owner may use.");
    public static final Key<Long> PORT = Key.optional(
            "port",
            Types.wholeNumber(1, 65_535),
            "9301",
            "Instead: a port on 127.0.0.1, which anyone on this machine may use.");

    public static final Table TABLE = Table.optional(
            "admin", "Where status, plugins, drain and reload are asked; without one only signals work.", SOCKET, PORT);

    @Override
    public Table table() {
        return TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        file.find(TABLE).ifPresent(admin -> {
            if (admin.find(SOCKET).isPresent() && admin.find(PORT).isPresent()) {
                problems.add(admin.place(), "admin", "must have socket or port, not both");
            }
        });
    }
}
