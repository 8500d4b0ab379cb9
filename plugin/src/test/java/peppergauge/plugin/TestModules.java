package peppergauge.plugin;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import peppergauge.plugin.wat.Assembler;

/** WebAssembly modules for tests: well-behaved, misbehaving and invalid ones. */
public final class TestModules {

    private static final String HEAD = "(module (import \"peppergauge\" \"clock\" (func $clock (result i64)))"
            + " (import \"peppergauge\" \"log\" (func $log (param i32 i32)))"
            + " (import \"peppergauge\" \"kv_set\" (func $set (param i32 i32 i32 i32) (result i32)))"
            + " (memory (export \"memory\") 1)"
            + " (func (export \"abi_version\") (result i32) (i32.const 1))";
    private static final String ALLOC = " (func (export \"alloc\") (param i32) (result i32) (i32.const 4096))";
    private static final String ON_SESSION =
            " (func (export \"on_session\") (param $p i32) (param $l i32) (result i64)";
    private static final String FOREVER = " (loop $l (br $l))";

    private TestModules() {}

    private static String moduleWithOnSession(String body) {
        return HEAD + ALLOC + ON_SESSION + body + "))";
    }

    /** A module whose verdict is in its data at address 64. */
    private static String verdict(String bytes, int length) {
        return HEAD + ALLOC + " (data (i32.const 64) \"" + bytes + "\")" + ON_SESSION + " (i64.const "
                + (64L << 32 | length) + ")))";
    }

    /** Code that polls the clock for this time, ms. */
    private static String spin(int ms) {
        return " (local $t i64) (local.set $t (i64.add (call $clock) (i64.const " + ms + ")))"
                + " (loop $l (br_if $l (i64.lt_s (call $clock) (local.get $t))))";
    }

    /** Sources of modules that load, and fail or use up their budget when called; by a description of what they do. */
    public static Map<String, String> misbehaving() {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("loops", moduleWithOnSession(FOREVER + " (i64.const 0)"));
        all.put("spins on the clock", moduleWithOnSession(spin(60_000) + " (i64.const 0)"));
        all.put("takes 0.9 of its budget", moduleWithOnSession(spin(4) + " (i64.const 0)"));
        all.put(
                "recurses",
                HEAD + ALLOC + " (func $f (param i32) (result i32) (i32.add (i32.const 1)"
                        + " (call $f (local.get 0))))" + ON_SESSION
                        + " (drop (call $f (i32.const 1))) (i64.const 0)))");
        all.put(
                "recurses through imports",
                HEAD + ALLOC + " (func $f (result i32) (drop (call $set (i32.const 0)"
                        + " (i32.const 1) (i32.const 8) (i32.const 8))) (i32.add (i32.const 1) (call $f)))"
                        + ON_SESSION + " (drop (call $f)) (i64.const 0)))");
        all.put("grows", moduleWithOnSession(" (loop $l (drop (memory.grow (i32.const 1))) (br $l)) (i64.const 0)"));
        all.put(
                "fills",
                moduleWithOnSession(" (loop $l (memory.fill (i32.const 0) (i32.const 7) (i32.const 65536)) (br $l))"
                        + " (i64.const 0)"));
        all.put(
                "floods the store",
                moduleWithOnSession(" (local $i i32) (loop $l (i32.store (i32.const 0) (local.get $i))"
                        + " (drop (call $set (i32.const 0) (i32.const 4) (i32.const 0) (i32.const 16000)))"
                        + " (local.set $i (i32.add (local.get $i) (i32.const 1))) (br $l)) (i64.const 0)"));
        all.put(
                "floods the log",
                moduleWithOnSession(" (loop $l (call $log (i32.const 0) (i32.const 100)) (br $l))" + " (i64.const 0)"));
        all.put("traps", moduleWithOnSession(" (unreachable)"));
        all.put("divides by zero", moduleWithOnSession(" (i64.div_s (i64.const 1) (i64.const 0))"));
        all.put("writes outside", moduleWithOnSession(" (i32.store (i32.const -4) (i32.const 1)) (i64.const 0)"));
        all.put("logs from outside", moduleWithOnSession(" (call $log (i32.const -50) (i32.const 100)) (i64.const 0)"));
        all.put(
                "stores a negative length",
                moduleWithOnSession(" (drop (call $set (i32.const 0) (i32.const -1) (i32.const 0)"
                        + " (i32.const -1))) (i64.const 0)"));
        all.put("points outside", moduleWithOnSession(" (i64.const " + (0xfffff000L << 32 | 16) + ")"));
        all.put("has a negative length", moduleWithOnSession(" (i64.const " + (64L << 32 | 0xffff_fff0L) + ")"));
        all.put("is of an unknown kind", verdict("\\09", 1));
        all.put("breaks off", verdict("\\01\\02\\01\\03", 4));
        all.put("has a million headers", verdict("\\01\\ff\\ff\\ff", 8000));
        all.put("breaks lines in a name", verdict("\\01\\01\\01\\05\\01\\00X\\0d\\0aYZv", 12));
        all.put("breaks lines in a value", verdict("\\01\\01\\01\\05\\04\\00X-Tagv\\0d\\0aw", 15));
        all.put("tags what is not granted", verdict("\\01\\01\\01\\05\\02\\00X-Txnno", 13));
        return all;
    }

    /** Modules that must not load, by description: the bytes and a part of the expected message. */
    public static Map<String, Object[]> invalid() {
        Map<String, Object[]> all = new LinkedHashMap<>();
        byte[] valid = tagging();
        all.put(
                "a start function that loops",
                invalidModule(
                        Assembler.assemble("(module (memory (export \"memory\") 1)"
                                + " (func (export \"abi_version\") (result i32) (i32.const 1))" + ALLOC + ON_SESSION
                                + " (i64.const 0))"
                                + " (func $f" + FOREVER + ") (start $f))"),
                        "instance start stopped after its budget"));
        all.put(
                "an alloc that loops",
                invalidModule(
                        Assembler.assemble(HEAD + " (func (export \"alloc\") (param i32)" + " (result i32)" + FOREVER
                                + " (i32.const 0))" + ON_SESSION + " (i64.const 0)))"),
                        "instance start stopped after its budget"));
        all.put(
                "an alloc outside",
                invalidModule(
                        Assembler.assemble(HEAD + " (func (export \"alloc\") (param i32) (result i32)"
                                + " (i32.const -8))" + ON_SESSION + " (i64.const 0)))"),
                        "alloc returned address 4294967288, at which 16384 bytes are outside the memory"));
        all.put(
                "another ABI",
                invalidModule(
                        Assembler.assemble(moduleWithOnSession(" (i64.const 0)")
                                .replace("(result i32) (i32.const 1)", "(result i32) (i32.const 2)")),
                        "module has ABI version 2, expected 1"));
        all.put(
                "an export of the wrong type",
                invalidModule(
                        Assembler.assemble(moduleWithOnSession(" (i64.const 0)")
                                .replace(
                                        "(param $p i32) (param $l i32) (result i64)",
                                        "(param $p i64) (param $l i32) (result i64)")),
                        "export on_session must have type"));
        all.put(
                "a function named memory",
                invalidModule(
                        Assembler.assemble("(module (memory 1) (func (export \"memory\"))"
                                + " (func (export \"abi_version\") (result i32) (i32.const 1))" + ALLOC + ON_SESSION
                                + " (i64.const 0)))"),
                        "module must export a memory"));
        all.put("no on_session", invalidModule(Assembler.assemble(HEAD + ALLOC + ")"), "export on_session is missing"));
        all.put(
                "an import that does not exist",
                invalidModule(
                        Assembler.assemble(moduleWithOnSession(" (i64.const 0)").replace("\"clock\"", "\"open_file\"")),
                        "import peppergauge.open_file does not exist"));
        all.put(
                "an import from elsewhere",
                invalidModule(
                        Assembler.assemble(moduleWithOnSession(" (i64.const 0)")
                                .replace("\"peppergauge\" \"clock\"", "\"wasi_snapshot_preview1\" \"clock\"")),
                        "does not exist"));
        all.put(
                "an import of another type",
                invalidModule(
                        Assembler.assemble(moduleWithOnSession(" (i64.const 0)")
                                .replace("(func $clock (result i64))", "(func $clock (result i32))")),
                        "import peppergauge.clock must have type"));
        all.put(
                "an import that is not granted",
                invalidModule(
                        Assembler.assemble(moduleWithOnSession(" (i64.const 0)").replace("\"clock\"", "\"random\"")),
                        "needs the capability random"));
        all.put(
                "4 GiB at the start",
                invalidModule(
                        Assembler.assemble(moduleWithOnSession(" (i64.const 0)")
                                .replace("(memory (export \"memory\") 1)", "(memory (export \"memory\") 65536)")),
                        "pages at the start"));
        all.put("50 MB", invalidModule(Arrays.copyOf(valid, 50_000_000), "bytes, which is over"));
        all.put(
                "a truncated module",
                invalidModule(Arrays.copyOf(valid, valid.length - 7), "not a valid WebAssembly module"));
        all.put("nothing", invalidModule(new byte[0], "not a valid WebAssembly module"));
        return all;
    }

    private static Object[] invalidModule(byte[] bytes, String expectedMessage) {
        return new Object[] {bytes, expectedMessage};
    }

    /** A module that sets the header {@code X-Tag: v} on each request. */
    public static byte[] tagging() {
        return Assembler.assemble(verdict("\\01\\01\\01\\05\\01\\00X-Tagv", 12));
    }

    /** A module that removes the header that {@link #tagging} sets. */
    public static byte[] removingTag() {
        return Assembler.assemble(verdict("\\01\\01\\02\\05\\00\\00X-Tag", 11));
    }

    /** A module that denies each request with a Retry-After of 500 ms. */
    public static byte[] denying() {
        return Assembler.assemble(verdict("\\02\\02\\f4\\01\\00\\00no", 8));
    }
}
