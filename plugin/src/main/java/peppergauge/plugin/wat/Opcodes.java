package peppergauge.plugin.wat;

import java.util.HashMap;
import java.util.Map;

/** Opcodes of the instructions that the assembler supports, by name. */
final class Opcodes {

    /** Instructions without immediate operands. */
    static final Map<String, Integer> PLAIN = new HashMap<>();
    /** Loads and stores, which are followed by alignment and offset. */
    static final Map<String, Integer> MEMORY = new HashMap<>();
    /** Instructions that are followed by one index. */
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

    private static final String COMPARISONS = "eqz eq ne lt_s lt_u gt_s gt_u le_s le_u ge_s ge_u";
    private static final String ARITHMETIC =
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
        addConsecutive(PLAIN, 0x45, "i32.", COMPARISONS);
        addConsecutive(PLAIN, 0x50, "i64.", COMPARISONS);
        addConsecutive(PLAIN, 0x67, "i32.", ARITHMETIC);
        addConsecutive(PLAIN, 0x79, "i64.", ARITHMETIC);
        MEMORY.putAll(Map.of("i32.load", 0x28, "i64.load", 0x29, "i32.store", 0x36, "i64.store", 0x37));
        addConsecutive(MEMORY, 0x2c, "i32.", "load8_s load8_u load16_s load16_u");
        addConsecutive(MEMORY, 0x30, "i64.", "load8_s load8_u load16_s load16_u load32_s load32_u");
        addConsecutive(MEMORY, 0x3a, "i32.", "store8 store16");
        addConsecutive(MEMORY, 0x3c, "i64.", "store8 store16 store32");
    }

    private Opcodes() {}

    private static void addConsecutive(Map<String, Integer> into, int first, String prefix, String names) {
        int code = first;
        for (String name : names.split(" ")) {
            into.put(prefix + name, code++);
        }
    }
}
