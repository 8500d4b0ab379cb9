package peppergauge.plugin.wat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Assembles the code of one function or constant expression, from plain and folded instructions. */
final class CodeAssembler {

    private static final String OFFSET = "offset=";
    private static final int OPCODE_BLOCK = 0x02;
    private static final int OPCODE_LOOP = 0x03;
    private static final int OPCODE_IF = 0x04;
    private static final int OPCODE_ELSE = 0x05;
    private static final int OPCODE_END = 0x0b;
    private static final int EMPTY_BLOCK_TYPE = 0x40;

    private final Map<String, Integer> functions;
    private final Map<String, Integer> globals;
    private final Map<String, Integer> locals;
    private final List<String> labels = new ArrayList<>();
    private final BinaryWriter code = new BinaryWriter();

    CodeAssembler(Map<String, Integer> functions, Map<String, Integer> globals, Map<String, Integer> locals) {
        this.functions = functions;
        this.globals = globals;
        this.locals = locals;
    }

    byte[] assemble(List<Object> items) {
        sequence(items, 0);
        if (!labels.isEmpty()) {
            throw new IllegalArgumentException("a block has no end");
        }
        return code.bytes(OPCODE_END).toByteArray();
    }

    private void sequence(List<Object> items, int from) {
        int at = from;
        while (at < items.size()) {
            if (items.get(at) instanceof List<?> list) {
                folded(Assembler.items(list));
                at++;
            } else {
                at = plain(items, at);
            }
        }
    }

    private void folded(List<Object> items) {
        String name = Assembler.atom(items, 0);
        if ("block".equals(name) || "loop".equals(name)) {
            int at = open(items, 0);
            sequence(items, at);
            end();
        } else if ("if".equals(name)) {
            foldedIf(items);
        } else {
            int at = skipImmediates(items, 0);
            sequence(items, at);
            plain(items.subList(0, at), 0);
        }
    }

    private void foldedIf(List<Object> items) {
        int at = 1;
        while (at < items.size()
                && !(items.get(at) instanceof List<?> list && !list.isEmpty() && ("then".equals(list.get(0))))) {
            if (items.get(at) instanceof List<?> list && !"result".equals(list.get(0))) {
                folded(Assembler.items(list));
            }
            at++;
        }
        if (at == items.size()) {
            throw new IllegalArgumentException("if has no (then ...)");
        }
        open(items, 0);
        sequence(Assembler.items((List<?>) items.get(at)), 1);
        if (at + 1 < items.size()) {
            code.bytes(OPCODE_ELSE);
            sequence(Assembler.items((List<?>) items.get(at + 1)), 1);
        }
        end();
    }

    /** Writes the start of a block, loop or if; returns the index after its label and result type. */
    private int open(List<Object> items, int at) {
        String name = Assembler.atom(items, at);
        code.bytes("block".equals(name) ? OPCODE_BLOCK : "loop".equals(name) ? OPCODE_LOOP : OPCODE_IF);
        int next = at + 1;
        String label = "";
        if (next < items.size() && items.get(next) instanceof String named && named.startsWith("$")) {
            label = named;
            next++;
        }
        int type = EMPTY_BLOCK_TYPE;
        if (next < items.size()
                && items.get(next) instanceof List<?> list
                && !list.isEmpty()
                && "result".equals(list.get(0))) {
            type = Assembler.valueType((String) list.get(1));
            next++;
        }
        code.bytes(type);
        labels.add(0, label);
        return next;
    }

    private void end() {
        if (labels.isEmpty()) {
            throw new IllegalArgumentException("end without a block");
        }
        labels.remove(0);
        code.bytes(OPCODE_END);
    }

    /** Returns the index after an instruction and its immediate operands. */
    private static int skipImmediates(List<Object> items, int at) {
        String name = Assembler.atom(items, at);
        int next = at + 1;
        if (Opcodes.INDEXED.containsKey(name) || name.endsWith(".const")) {
            return next + 1;
        }
        while (Opcodes.MEMORY.containsKey(name)
                && next < items.size()
                && items.get(next) instanceof String option
                && option.contains("=")) {
            next++;
        }
        return next;
    }

    private int plain(List<Object> items, int at) {
        String name = Assembler.atom(items, at);
        int next = skipImmediates(items, at);
        if ("block".equals(name) || "loop".equals(name) || "if".equals(name)) {
            return open(items, at);
        } else if ("else".equals(name)) {
            code.bytes(OPCODE_ELSE);
        } else if ("end".equals(name)) {
            end();
        } else if (Opcodes.PLAIN.containsKey(name)) {
            code.bytes(Opcodes.PLAIN.get(name));
        } else if (Opcodes.INDEXED.containsKey(name)) {
            code.bytes(Opcodes.INDEXED.get(name)).unsigned(index(name, Assembler.atom(items, at + 1)));
        } else if (Opcodes.MEMORY.containsKey(name)) {
            memoryAccess(name, items.subList(at + 1, next));
        } else if ("i32.const".equals(name)) {
            code.bytes(0x41).signed((int) Assembler.number(Assembler.atom(items, at + 1)));
        } else if ("i64.const".equals(name)) {
            code.bytes(0x42).signed(Assembler.number(Assembler.atom(items, at + 1)));
        } else if ("memory.size".equals(name) || "memory.grow".equals(name)) {
            code.bytes("memory.size".equals(name) ? 0x3f : 0x40, 0);
        } else if ("memory.copy".equals(name)) {
            code.bytes(0xfc, 0x0a, 0, 0);
        } else if ("memory.fill".equals(name)) {
            code.bytes(0xfc, 0x0b, 0);
        } else {
            throw new IllegalArgumentException("unknown instruction " + name);
        }
        return next;
    }

    private void memoryAccess(String name, List<Object> options) {
        long offset = 0;
        for (Object option : options) {
            if (((String) option).startsWith(OFFSET)) {
                offset = Assembler.number(((String) option).substring(OFFSET.length()));
            }
        }
        code.bytes(Opcodes.MEMORY.get(name), 0).unsigned(offset);
    }

    private long index(String instruction, String name) {
        if (!name.startsWith("$")) {
            return Assembler.number(name);
        }
        Integer index = instruction.startsWith("br")
                ? Integer.valueOf(labels.indexOf(name))
                : instruction.startsWith("local")
                        ? locals.get(name)
                        : instruction.startsWith("global") ? globals.get(name) : functions.get(name);
        if (index == null || index < 0) {
            throw new IllegalArgumentException(instruction + " refers to unknown " + name);
        }
        return index;
    }
}
