package peppergauge.plugin.box;

import com.dylibso.chicory.runtime.HostFunction;
import com.dylibso.chicory.runtime.ImportValues;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.runtime.Memory;
import com.dylibso.chicory.runtime.TrapException;
import com.dylibso.chicory.runtime.WasmFunctionHandle;
import com.dylibso.chicory.wasm.types.FunctionType;
import com.dylibso.chicory.wasm.types.ValType;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import peppergauge.plugin.abi.Abi;

/**
 * The functions that plug-ins may import. Pointers and lengths are the plug-in's own: what lies outside its memory or
 * is longer than allowed ends the call as a trap, and nothing is done.
 */
final class Imports {

    private static final int LONGEST_LINE = 300;
    /** Frames that a host function may need, and some more. */
    private static final int RESERVED_FRAMES = 60;

    private static final long[] NOTHING = {};
    private static final int MISSING = -1;
    private static final int FULL = -1;

    static final Map<String, FunctionType> TYPES = new HashMap<>();
    private static final Map<String, Capability> NEEDS = new HashMap<>();

    static {
        declare(Capability.LOG, "log", "ii", "");
        declare(Capability.CONFIG, "config", "iiii", "i");
        declare(Capability.CLOCK, "clock", "", "l");
        declare(Capability.RANDOM, "random", "", "l");
        declare(Capability.COUNTERS, "count", "iil", "i");
        declare(Capability.STORE, "kv_get", "iiii", "i");
        declare(Capability.STORE, "kv_set", "iiii", "i");
        declare(Capability.STORE, "kv_remove", "ii", "i");
    }

    private final Host host;

    private Imports(Host host) {
        this.host = host;
    }

    private static void declare(Capability capability, String name, String params, String results) {
        TYPES.put(name, FunctionType.of(types(params), types(results)));
        NEEDS.put(name, capability);
    }

    private static List<ValType> types(String letters) {
        return letters.chars()
                .mapToObj(letter -> letter == 'i' ? ValType.I32 : ValType.I64)
                .toList();
    }

    /** The name by which the file grants it. */
    static String capability(String name) {
        return NEEDS.get(name).name().toLowerCase(java.util.Locale.ROOT);
    }

    static Map<String, FunctionType> types(Set<Capability> granted) {
        Map<String, FunctionType> types = new HashMap<>(TYPES);
        types.keySet().removeIf(name -> !granted.contains(NEEDS.get(name)));
        return types;
    }

    static ImportValues of(Set<Capability> granted, Host host) {
        Imports imports = new Imports(host);
        Map<String, WasmFunctionHandle> handles = Map.of(
                "log",
                imports::log,
                "config",
                imports::config,
                "clock",
                (instance, none) -> new long[] {host.epochMs().getAsLong()},
                "random",
                (instance, none) -> new long[] {host.random().getAsLong()},
                "count",
                imports::count,
                "kv_get",
                imports::get,
                "kv_set",
                imports::set,
                "kv_remove",
                imports::remove);
        ImportValues.Builder values = ImportValues.builder();
        types(granted)
                .forEach((name, type) ->
                        values.addFunction(new HostFunction(Abi.MODULE, name, type, guarded(handles.get(name)))));
        return values.build();
    }

    /** A call stack that ends in the middle of a change could leave it half done: it ends here, before. */
    private static WasmFunctionHandle guarded(WasmFunctionHandle handle) {
        return (instance, arguments) -> {
            reserve(RESERVED_FRAMES);
            return handle.apply(instance, arguments);
        };
    }

    private static int reserve(int frames) {
        return frames == 0 ? 0 : 1 + reserve(frames - 1);
    }

    private long[] log(Instance instance, long... arguments) {
        int length = (int) arguments[1];
        byte[] text = bytes(instance, arguments[0], Math.min(length, LONGEST_LINE), LONGEST_LINE);
        host.log().accept(new String(text, StandardCharsets.UTF_8));
        return NOTHING;
    }

    private long[] config(Instance instance, long... arguments) {
        String key = new String(bytes(instance, arguments[0], arguments[1], Store.LONGEST_KEY), StandardCharsets.UTF_8);
        String value = host.config().get(key);
        return answer(instance, value == null ? null : value.getBytes(StandardCharsets.UTF_8), arguments);
    }

    private long[] count(Instance instance, long... arguments) {
        byte[] name = bytes(instance, arguments[0], arguments[1], Counters.LONGEST_NAME);
        String text = new String(name, StandardCharsets.ISO_8859_1).replaceAll("[^!-~]", "?");
        return one(host.counters().add(text, arguments[2]) ? 0 : FULL);
    }

    private long[] get(Instance instance, long... arguments) {
        return answer(
                instance, host.store().get(bytes(instance, arguments[0], arguments[1], Store.LONGEST_KEY)), arguments);
    }

    private long[] set(Instance instance, long... arguments) {
        byte[] key = bytes(instance, arguments[0], arguments[1], Store.LONGEST_KEY);
        byte[] value = bytes(instance, arguments[2], arguments[3], Store.LONGEST_VALUE);
        return one(host.store().set(key, value) ? 0 : FULL);
    }

    private long[] remove(Instance instance, long... arguments) {
        boolean there = host.store().remove(bytes(instance, arguments[0], arguments[1], Store.LONGEST_KEY));
        return one(there ? 0 : MISSING);
    }

    /** Writes as much of a value as there is room for; its whole length is the result. */
    private static long[] answer(Instance instance, byte[] value, long... arguments) {
        if (value == null) {
            return one(MISSING);
        }
        long room = arguments[3] & 0xffff_ffffL;
        int written = (int) Math.min(room, value.length);
        long at = arguments[2] & 0xffff_ffffL;
        Memory memory = instance.memory();
        if (at + written > (long) memory.pages() * Memory.PAGE_SIZE) {
            throw new TrapException("a place outside the memory");
        }
        memory.write((int) at, value, 0, written);
        return one(value.length);
    }

    private static byte[] bytes(Instance instance, long pointer, long length, int most) {
        long at = pointer & 0xffff_ffffL;
        long size = length & 0xffff_ffffL;
        Memory memory = instance.memory();
        if (size > most || at + size > (long) memory.pages() * Memory.PAGE_SIZE) {
            throw new TrapException("a text outside the memory, or too long");
        }
        return memory.readBytes((int) at, (int) size);
    }

    private static long[] one(int result) {
        return new long[] {result};
    }
}
