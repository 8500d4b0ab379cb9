package peppergauge.plugin.wat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Assembles the subset of the WebAssembly text format that small plug-ins need: functions on integers, one memory,
 * globals, data, imported functions, exports and a start function; no floats, tables or references. It lets the
 * examples build without an external tool, since the one in Maven Central requires an older runtime. One instance
 * assembles one module.
 */
public final class Assembler {

    private final List<byte[]> types = new ArrayList<>();
    private final Map<String, Integer> functions = new LinkedHashMap<>();
    private final Map<String, Integer> globals = new LinkedHashMap<>();
    private final List<Runnable> bodies = new ArrayList<>();
    private final BinaryWriter imports = new BinaryWriter();
    private final BinaryWriter functionTypes = new BinaryWriter();
    private final BinaryWriter memories = new BinaryWriter();
    private final BinaryWriter globalCode = new BinaryWriter();
    private final BinaryWriter exports = new BinaryWriter();
    private final BinaryWriter code = new BinaryWriter();
    private final BinaryWriter data = new BinaryWriter();
    private int importCount;
    private int functionCount;
    private int memoryCount;
    private int exportCount;
    private int dataCount;
    private String start;

    private Assembler() {}

    /**
     * Returns the binary module.
     *
     * @throws IllegalArgumentException with the reason if the text is malformed or outside the supported subset
     */
    public static byte[] assemble(String text) {
        List<Object> all = new SExpressionParser(text).parse();
        if (all.size() != 1 || !(all.get(0) instanceof List<?> module) || !"module".equals(atom(items(module), 0))) {
            throw new IllegalArgumentException("expected exactly one (module ...)");
        }
        try {
            return new Assembler().module(items(module));
        } catch (ClassCastException | IndexOutOfBoundsException | NullPointerException unexpected) {
            throw new IllegalArgumentException("an element is missing or is of the wrong kind", unexpected);
        }
    }

    private byte[] module(List<Object> fields) {
        // Imported functions have the first indices, wherever in the module they are.
        for (Object field : fields.subList(1, fields.size())) {
            List<Object> items = items((List<?>) field);
            if ("import".equals(items.get(0))) {
                importFunction(items);
            }
        }
        for (Object field : fields.subList(1, fields.size())) {
            List<Object> items = items((List<?>) field);
            switch (atom(items, 0)) {
                case "import" -> {}
                case "memory" -> memory(items);
                case "global" -> global(items);
                case "func" -> function(items);
                case "export" -> export((byte[]) items.get(1), items((List<?>) items.get(2)));
                case "data" -> data(items);
                case "start" -> start = atom(items, 1);
                default -> throw new IllegalArgumentException("unknown module field " + items.get(0));
            }
        }
        bodies.forEach(Runnable::run);
        BinaryWriter module = new BinaryWriter();
        module.writeBytes(new byte[] {0, 'a', 's', 'm', 1, 0, 0, 0});
        BinaryWriter typeBytes = new BinaryWriter();
        types.forEach(typeBytes::writeBytes);
        module.section(1, types.size(), typeBytes);
        module.section(2, importCount, imports);
        module.section(3, functionCount, functionTypes);
        module.section(5, memoryCount, memories);
        module.section(6, globals.size(), globalCode);
        module.section(7, exportCount, exports);
        if (start != null) {
            module.bytes(8)
                    .vector(new BinaryWriter().unsigned(functions.get(start)).toByteArray());
        }
        module.section(10, functionCount, code);
        module.section(11, dataCount, data);
        return module.toByteArray();
    }

    private void importFunction(List<Object> items) {
        List<Object> description = items((List<?>) items.get(3));
        if (!"func".equals(description.get(0))) {
            throw new IllegalArgumentException("only functions can be imported");
        }
        int from = 1;
        String name = "import " + importCount;
        if (description.size() > 1 && description.get(1) instanceof String identifier) {
            name = identifier;
            from = 2;
        }
        functions.put(name, importCount++);
        imports.vector((byte[]) items.get(1))
                .vector((byte[]) items.get(2))
                .bytes(0)
                .unsigned(typeIndex(description.subList(from, description.size()), new LinkedHashMap<>()));
    }

    private void memory(List<Object> items) {
        int at = 1;
        if (items.get(1) instanceof List<?> inline) {
            export((byte[]) inline.get(1), List.of("memory", "0"));
            at = 2;
        }
        memoryCount++;
        boolean hasMaximum = items.size() > at + 1;
        memories.bytes(hasMaximum ? 1 : 0).unsigned(number(atom(items, at)));
        if (hasMaximum) {
            memories.unsigned(number(atom(items, at + 1)));
        }
    }

    private void global(List<Object> items) {
        int at = 1;
        String name = "global " + globals.size();
        if (items.get(at) instanceof String identifier && identifier.startsWith("$")) {
            name = identifier;
            at++;
        }
        globals.put(name, globals.size());
        boolean mutable = items.get(at) instanceof List<?>;
        String type = mutable ? (String) ((List<?>) items.get(at)).get(1) : atom(items, at);
        globalCode.bytes(valueType(type), mutable ? 1 : 0);
        globalCode.writeBytes(
                new CodeAssembler(functions, globals, Map.of()).assemble(items.subList(at + 1, items.size())));
    }

    private void function(List<Object> items) {
        int index = importCount + functionCount++;
        int at = 1;
        if (items.size() > 1 && items.get(1) instanceof String name) {
            functions.put(name, index);
            at = 2;
        }
        while (at < items.size() && items.get(at) instanceof List<?> list && "export".equals(list.get(0))) {
            export((byte[]) list.get(1), List.of("func", Integer.toString(index)));
            at++;
        }
        Map<String, Integer> locals = new LinkedHashMap<>();
        int typeEnd = at;
        while (typeEnd < items.size()
                && items.get(typeEnd) instanceof List<?> list
                && ("param".equals(list.get(0)) || "result".equals(list.get(0)))) {
            typeEnd++;
        }
        functionTypes.unsigned(typeIndex(items.subList(at, typeEnd), locals));
        BinaryWriter localTypes = new BinaryWriter();
        int localCount = 0;
        int bodyStart = typeEnd;
        while (bodyStart < items.size()
                && items.get(bodyStart) instanceof List<?> list
                && "local".equals(list.get(0))) {
            for (int type : readTypes(items(list), locals)) {
                localTypes.bytes(1, type);
                localCount++;
            }
            bodyStart++;
        }
        List<Object> body = items.subList(bodyStart, items.size());
        BinaryWriter declarations = new BinaryWriter().unsigned(localCount);
        declarations.writeBytes(localTypes.toByteArray());
        bodies.add(() -> {
            declarations.writeBytes(new CodeAssembler(functions, globals, locals).assemble(body));
            code.vector(declarations.toByteArray());
        });
    }

    private void export(byte[] name, List<Object> exported) {
        exportCount++;
        String kind = atom(exported, 0);
        exports.vector(name).bytes("func".equals(kind) ? 0 : "memory".equals(kind) ? 2 : 3);
        String index = atom(exported, 1);
        exports.unsigned(
                !index.startsWith("$")
                        ? number(index)
                        : "func".equals(kind) ? functions.get(index) : globals.get(index));
    }

    private void data(List<Object> items) {
        dataCount++;
        data.bytes(0);
        data.writeBytes(new CodeAssembler(functions, globals, Map.of()).assemble(items.subList(1, 2)));
        BinaryWriter content = new BinaryWriter();
        items.subList(2, items.size()).forEach(part -> content.writeBytes((byte[]) part));
        data.vector(content.toByteArray());
    }

    /** The index of the function type, which is added if it is new; the parameters are added to {@code locals}. */
    private int typeIndex(List<Object> parts, Map<String, Integer> locals) {
        List<Integer> params = new ArrayList<>();
        List<Integer> results = new ArrayList<>();
        for (Object part : parts) {
            List<Object> list = items((List<?>) part);
            if ("param".equals(list.get(0))) {
                params.addAll(readTypes(list, locals));
            } else {
                results.addAll(readTypes(list, new LinkedHashMap<>()));
            }
        }
        BinaryWriter bytes = new BinaryWriter().bytes(0x60).unsigned(params.size());
        params.forEach(bytes::bytes);
        bytes.unsigned(results.size());
        results.forEach(bytes::bytes);
        for (int i = 0; i < types.size(); i++) {
            if (Arrays.equals(types.get(i), bytes.toByteArray())) {
                return i;
            }
        }
        types.add(bytes.toByteArray());
        return types.size() - 1;
    }

    /** The types in a list such as {@code (param $a i32)}; adds the names, or placeholders for them, to the locals. */
    private static List<Integer> readTypes(List<Object> list, Map<String, Integer> locals) {
        List<Integer> found = new ArrayList<>();
        for (Object item : list.subList(1, list.size())) {
            String word = (String) item;
            if (word.startsWith("$")) {
                locals.put(word, locals.size());
            } else {
                found.add(valueType(word));
                if (list.size() == 2 || !((String) list.get(1)).startsWith("$")) {
                    locals.put("unnamed " + locals.size(), locals.size());
                }
            }
        }
        return found;
    }

    static int valueType(String name) {
        return switch (name) {
            case "i32" -> 0x7f;
            case "i64" -> 0x7e;
            default -> throw new IllegalArgumentException("unknown type " + name + ", expected i32 or i64");
        };
    }

    static String atom(List<Object> items, int at) {
        if (at < items.size() && items.get(at) instanceof String atom) {
            return atom;
        }
        throw new IllegalArgumentException("expected a word at position " + at + " of "
                + items.stream()
                        .map(item -> item instanceof byte[] text ? new String(text, StandardCharsets.UTF_8) : item)
                        .toList());
    }

    static long number(String text) {
        String digits = text.replace("_", "");
        boolean minus = digits.startsWith("-");
        String rest = minus ? digits.substring(1) : digits;
        try {
            long value = rest.startsWith("0x")
                    ? Long.parseUnsignedLong(rest.substring(2), 16)
                    : Long.parseUnsignedLong(rest);
            return minus ? -value : value;
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException("not a number: " + text);
        }
    }

    @SuppressWarnings("unchecked") // the parser creates only lists of objects
    static List<Object> items(List<?> list) {
        return (List<Object>) list;
    }
}
