package peppergauge.plugin;

import java.time.ZoneOffset;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import peppergauge.plugin.abi.LocalTime;
import peppergauge.plugin.abi.SessionView;
import peppergauge.plugin.box.Box;
import peppergauge.plugin.box.Capability;
import peppergauge.plugin.box.Compiled;
import peppergauge.plugin.box.Counters;
import peppergauge.plugin.box.Fault;
import peppergauge.plugin.box.Host;
import peppergauge.plugin.box.Limits;
import peppergauge.plugin.box.Store;
import peppergauge.plugin.box.Unusable;
import peppergauge.plugin.wat.Assembler;
import peppergauge.request.Message;

/**
 * Goes the way of a call some hundred times with a module of its own, once in a program. Guards the first sessions:
 * in a cold Java machine a call takes longer than its budget, and each plug-in would begin with failures.
 */
final class WarmUp {

    private static final int CALLS = 300;
    private static final AtomicBoolean DONE = new AtomicBoolean();
    private static final String MODULE = """
            (module
              (import "peppergauge" "config" (func $config (param i32 i32 i32 i32) (result i32)))
              (import "peppergauge" "count" (func $count (param i32 i32 i64) (result i32)))
              (memory (export "memory") 1 1)
              (data (i32.const 64) "\\01\\01\\01\\05\\01\\00X-Tagv")
              (func (export "abi_version") (result i32) (i32.const 1))
              (func (export "alloc") (param i32) (result i32) (i32.const 4096))
              (func (export "on_session") (param i32 i32) (result i64)
                (drop (call $config (i32.const 64) (i32.const 4) (i32.const 0) (i32.const 4)))
                (drop (call $count (i32.const 70) (i32.const 5) (i64.const 1)))
                (i64.or (i64.shl (i64.const 64) (i64.const 32)) (i64.const 12))))
            """;

    private WarmUp() {}

    static void once() {
        if (DONE.compareAndSet(false, true)) {
            try {
                run();
            } catch (Unusable | Fault bug) {
                throw new IllegalStateException(bug);
            }
        }
    }

    private static void run() throws Unusable, Fault {
        Host host = new Host(Map.of(), System::currentTimeMillis, () -> 0, new Counters(), new Store(0), line -> {});
        Box box = new Box(
                Compiled.of(
                        Assembler.assemble(MODULE),
                        EnumSet.of(Capability.CONFIG, Capability.COUNTERS),
                        new Limits(1, 1 << 16, false)),
                host);
        SessionView session = new SessionView(
                "c",
                "t",
                "k",
                "GET",
                "/c/k",
                List.of(new Message.Field("a", "b")),
                1,
                0,
                false,
                LocalTime.of(0, ZoneOffset.UTC));
        for (int i = 0; i < CALLS; i++) {
            box.onSession(session);
        }
    }
}
