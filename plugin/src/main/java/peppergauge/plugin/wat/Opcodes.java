package peppergauge.plugin.wat;

import java.util.HashMap;
import java.util.Map;

/** The instructions that the assembler knows, by name: whole numbers, memory, variables. */
final class Opcodes {

    /** Those without anything after them. */
    static final Map<String, Integer> PLAIN = new HashMap<>();
    /** Loads and stores, after which alignment and offset stand. */
    static final Map<String, Integer> MEMORY = new HashMap<>();
    /** After which one index stands. */
    static final Map<String, Integer> INDEXED = Map.of(
            "br",
            0x0c,
            "br_if",
            0x0d,
            "call",
            0x10,
            "local.get",
            0x20,
            "local.set",
            0x21,
            "local.tee",
            0x22,
            "global.get",
            0x23,
            "global.set",
            0x24);

    private static final String COMPARE = "eqz eq ne lt_s lt_u gt_s gt_u le_s le_u ge_s ge_u";
    private static final String NUMERIC =
            "clz ctz popcnt add sub mul div_s div_u rem_s rem_u and or xor shl shr_s shr_u rotl rotr";

    static {
        PLAIN.putAll(Map.of(
                "unreachable",
                0x00,
                "nop",
                0x01,
                "return",
                0x0f,
                "drop",
                0x1a,
                "select",
                0x1b,
                "i32.wrap_i64",
                0xa7,
                "i64.extend_i32_s",
                0xac,
                "i64.extend_i32_u",
                0xad));
        list(PLAIN, 0x45, "i32.", COMPARE);
        list(PLAIN, 0x50, "i64.", COMPARE);
        list(PLAIN, 0x67, "i32.", NUMERIC);
        list(PLAIN, 0x79, "i64.", NUMERIC);
        MEMORY.putAll(Map.of("i32.load", 0x28, "i64.load", 0x29, "i32.store", 0x36, "i64.store", 0x37));
        list(MEMORY, 0x2c, "i32.", "load8_s load8_u load16_s load16_u");
        list(MEMORY, 0x30, "i64.", "load8_s load8_u load16_s load16_u load32_s load32_u");
        list(MEMORY, 0x3a, "i32.", "store8 store16");
        list(MEMORY, 0x3c, "i64.", "store8 store16 store32");
    }

    private Opcodes() {}

    private static void list(Map<String, Integer> into, int first, String prefix, String names) {
        int code = first;
        for (String name : names.split(" ")) {
            into.put(prefix + name, code++);
        }
    }
}
