package peppergauge.plugin.wat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Makes a module of WebAssembly's text form, as much of it as small plug-ins need: functions over whole numbers, one
 * memory, globals, data, imports of functions, exports, a start function. No floats, tables or references. Exists so
 * that the examples build without a tool from elsewhere: the one in Maven Central is for an older runtime.
 */
public final class Assembler {

    private final List<byte[]> types = new ArrayList<>();
    private final Map<String, Integer> functions = new LinkedHashMap<>();
    private final Map<String, Integer> globals = new LinkedHashMap<>();
    private final List<Runnable> bodies = new ArrayList<>();
    private final Out imports = new Out();
    private final Out declared = new Out();
    private final Out memories = new Out();
    private final Out globalCode = new Out();
    private final Out exports = new Out();
    private final Out code = new Out();
    private final Out data = new Out();
    private int importCount;
    private int functionCount;
    private int memoryCount;
    private int exportCount;
    private int dataCount;
    private String start;

    private Assembler() {}

    /** The module's bytes; an {@link IllegalArgumentException} says what is not understood. */
    public static byte[] assemble(String text) {
        List<Object> all = new Sexp(text).read();
        if (all.size() != 1 || !(all.get(0) instanceof List<?> module) || !"module".equals(atom(items(module), 0))) {
            throw new IllegalArgumentException("a text must be one (module ...)");
        }
        try {
            return new Assembler().module(items(module));
        } catch (ClassCastException | IndexOutOfBoundsException | NullPointerException unexpected) {
            throw new IllegalArgumentException("something is not where it is expected", unexpected);
        }
    }

    private byte[] module(List<Object> fields) {
        // Imports take the first numbers, wherever they stand.
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
                default -> throw new IllegalArgumentException("unknown part " + items.get(0));
            }
        }
        bodies.forEach(Runnable::run);
        Out module = new Out();
        module.writeBytes(new byte[] {0, 'a', 's', 'm', 1, 0, 0, 0});
        Out typeBytes = new Out();
        types.forEach(typeBytes::writeBytes);
        module.section(1, types.size(), typeBytes);
        module.section(2, importCount, imports);
        module.section(3, functionCount, declared);
        module.section(5, memoryCount, memories);
        module.section(6, globals.size(), globalCode);
        module.section(7, exportCount, exports);
        if (start != null) {
            module.bytes(8).sized(new Out().number(functions.get(start)).toByteArray());
        }
        module.section(10, functionCount, code);
        module.section(11, dataCount, data);
        return module.toByteArray();
    }

    private void importFunction(List<Object> items) {
        List<Object> what = items((List<?>) items.get(3));
        if (!"func".equals(what.get(0))) {
            throw new IllegalArgumentException("only functions can be imported");
        }
        int from = 1;
        String name = "import " + importCount;
        if (what.size() > 1 && what.get(1) instanceof String named) {
            name = named;
            from = 2;
        }
        functions.put(name, importCount++);
        imports.sized((byte[]) items.get(1))
                .sized((byte[]) items.get(2))
                .bytes(0)
                .number(type(what.subList(from, what.size()), new LinkedHashMap<>()));
    }

    private void memory(List<Object> items) {
        int at = 1;
        if (items.get(1) instanceof List<?> inline) {
            export((byte[]) inline.get(1), List.of("memory", "0"));
            at = 2;
        }
        memoryCount++;
        boolean bounded = items.size() > at + 1;
        memories.bytes(bounded ? 1 : 0).number(number(atom(items, at)));
        if (bounded) {
            memories.number(number(atom(items, at + 1)));
        }
    }

    private void global(List<Object> items) {
        int at = 1;
        String name = "global " + globals.size();
        if (items.get(at) instanceof String named && named.startsWith("$")) {
            name = named;
            at++;
        }
        globals.put(name, globals.size());
        boolean mutable = items.get(at) instanceof List<?>;
        String of = mutable ? (String) ((List<?>) items.get(at)).get(1) : atom(items, at);
        globalCode.bytes(type(of), mutable ? 1 : 0);
        globalCode.writeBytes(new Body(functions, globals, Map.of()).assemble(items.subList(at + 1, items.size())));
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
        int head = at;
        while (head < items.size()
                && items.get(head) instanceof List<?> list
                && ("param".equals(list.get(0)) || "result".equals(list.get(0)))) {
            head++;
        }
        declared.number(type(items.subList(at, head), locals));
        Out local = new Out();
        int localCount = 0;
        while (head < items.size() && items.get(head) instanceof List<?> list && "local".equals(list.get(0))) {
            for (int type : named(items(list), locals)) {
                local.bytes(1, type);
                localCount++;
            }
            head++;
        }
        List<Object> body = items.subList(head, items.size());
        Out declarations = new Out().number(localCount);
        declarations.writeBytes(local.toByteArray());
        bodies.add(() -> {
            declarations.writeBytes(new Body(functions, globals, locals).assemble(body));
            code.sized(declarations.toByteArray());
        });
    }

    private void export(byte[] name, List<Object> what) {
        exportCount++;
        String kind = atom(what, 0);
        exports.sized(name).bytes("func".equals(kind) ? 0 : "memory".equals(kind) ? 2 : 3);
        String of = atom(what, 1);
        exports.number(!of.startsWith("$") ? number(of) : "func".equals(kind) ? functions.get(of) : globals.get(of));
    }

    private void data(List<Object> items) {
        dataCount++;
        data.bytes(0);
        data.writeBytes(new Body(functions, globals, Map.of()).assemble(items.subList(1, 2)));
        Out content = new Out();
        items.subList(2, items.size()).forEach(part -> content.writeBytes((byte[]) part));
        data.sized(content.toByteArray());
    }

    /** The number of the type that params and results make; names of params go into {@code locals}. */
    private int type(List<Object> parts, Map<String, Integer> locals) {
        List<Integer> params = new ArrayList<>();
        List<Integer> results = new ArrayList<>();
        for (Object part : parts) {
            List<Object> list = items((List<?>) part);
            if ("param".equals(list.get(0))) {
                params.addAll(named(list, locals));
            } else {
                results.addAll(named(list, new LinkedHashMap<>()));
            }
        }
        Out bytes = new Out().bytes(0x60).number(params.size());
        params.forEach(bytes::bytes);
        bytes.number(results.size());
        results.forEach(bytes::bytes);
        for (int i = 0; i < types.size(); i++) {
            if (java.util.Arrays.equals(types.get(i), bytes.toByteArray())) {
                return i;
            }
        }
        types.add(bytes.toByteArray());
        return types.size() - 1;
    }

    private static List<Integer> named(List<Object> list, Map<String, Integer> locals) {
        List<Integer> found = new ArrayList<>();
        for (Object item : list.subList(1, list.size())) {
            String word = (String) item;
            if (word.startsWith("$")) {
                locals.put(word, locals.size());
            } else {
                found.add(type(word));
                if (list.size() == 2 || !((String) list.get(1)).startsWith("$")) {
                    locals.put("unnamed " + locals.size(), locals.size());
                }
            }
        }
        return found;
    }

    static int type(String name) {
        return switch (name) {
            case "i32" -> 0x7f;
            case "i64" -> 0x7e;
            default -> throw new IllegalArgumentException("unknown type " + name);
        };
    }

    static String atom(List<Object> items, int at) {
        if (at < items.size() && items.get(at) instanceof String atom) {
            return atom;
        }
        throw new IllegalArgumentException("a word is missing in "
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
        } catch (NumberFormatException none) {
            throw new IllegalArgumentException("not a number: " + text);
        }
    }

    @SuppressWarnings("unchecked") // Sexp makes lists of nothing but objects
    static List<Object> items(List<?> list) {
        return (List<Object>) list;
    }
}
