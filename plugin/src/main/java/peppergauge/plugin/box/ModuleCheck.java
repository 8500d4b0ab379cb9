package peppergauge.plugin.box;

import com.dylibso.chicory.wasm.WasmModule;
import com.dylibso.chicory.wasm.types.AnnotatedInstruction;
import com.dylibso.chicory.wasm.types.Export;
import com.dylibso.chicory.wasm.types.ExternalType;
import com.dylibso.chicory.wasm.types.FunctionBody;
import com.dylibso.chicory.wasm.types.FunctionImport;
import com.dylibso.chicory.wasm.types.FunctionType;
import com.dylibso.chicory.wasm.types.Global;
import com.dylibso.chicory.wasm.types.Import;
import com.dylibso.chicory.wasm.types.Instruction;
import com.dylibso.chicory.wasm.types.MemoryLimits;
import com.dylibso.chicory.wasm.types.OpCode;
import com.dylibso.chicory.wasm.types.ValType;
import java.util.List;
import java.util.Map;
import java.util.Set;
import peppergauge.plugin.abi.Abi;

/**
 * What a module must be before anything of it runs. Its instructions are those of WebAssembly 2.0 without vectors:
 * what came later takes memory that no limit counts (objects, exceptions), waits in the runtime (atomics), or loops
 * without passing the place at which a call is stopped (tail calls).
 */
final class ModuleCheck {

    private static final Set<String> ALLOWED = Set.of(
            "UNREACHABLE",
            "NOP",
            "BLOCK",
            "LOOP",
            "IF",
            "ELSE",
            "END",
            "BR",
            "BR_IF",
            "BR_TABLE",
            "RETURN",
            "CALL",
            "CALL_INDIRECT",
            "DROP",
            "SELECT",
            "SELECT_T",
            "LOCAL_GET",
            "LOCAL_SET",
            "LOCAL_TEE",
            "GLOBAL_GET",
            "GLOBAL_SET",
            "TABLE_GET",
            "TABLE_SET",
            "TABLE_SIZE",
            "TABLE_INIT",
            "TABLE_COPY",
            "TABLE_FILL",
            "ELEM_DROP",
            "MEMORY_SIZE",
            "MEMORY_GROW",
            "MEMORY_INIT",
            "MEMORY_COPY",
            "MEMORY_FILL",
            "DATA_DROP",
            "REF_NULL",
            "REF_IS_NULL",
            "REF_FUNC");

    private static final Map<String, FunctionType> EXPORTS = Map.of(
            Abi.ABI_VERSION, FunctionType.returning(ValType.I32),
            Abi.ALLOC, FunctionType.of(List.of(ValType.I32), List.of(ValType.I32)),
            Abi.ON_SESSION, FunctionType.of(List.of(ValType.I32, ValType.I32), List.of(ValType.I64)),
            Abi.ON_ANSWER, FunctionType.of(List.of(ValType.I32, ValType.I32), List.of()),
            Abi.ON_TICK, FunctionType.empty());

    private final WasmModule module;
    private final Limits limits;

    ModuleCheck(WasmModule module, Limits limits) {
        this.module = module;
        this.limits = limits;
    }

    /** @param granted the imports that link, with their types */
    void run(Map<String, FunctionType> granted) throws Unusable {
        imports(granted);
        exports();
        sizes();
        instructions();
    }

    private void imports(Map<String, FunctionType> granted) throws Unusable {
        for (int i = 0; i < module.importSection().importCount(); i++) {
            Import wanted = module.importSection().getImport(i);
            String name = wanted.module() + "." + wanted.name();
            if (!(wanted instanceof FunctionImport function)
                    || !Abi.MODULE.equals(wanted.module())
                    || !Imports.TYPES.containsKey(wanted.name())) {
                throw new Unusable("import " + name + " does not exist");
            }
            if (!granted.containsKey(wanted.name())) {
                throw new Unusable("import " + name + " needs the capability " + Imports.capability(wanted.name())
                        + ", which is not granted");
            }
            if (!granted.get(wanted.name()).equals(type(function.typeIndex()))) {
                throw new Unusable("import " + name + " is of another type than " + granted.get(wanted.name()));
            }
        }
    }

    private void exports() throws Unusable {
        for (String needed : new String[] {Abi.ABI_VERSION, Abi.ALLOC, Abi.ON_SESSION}) {
            if (export(needed) == null) {
                throw new Unusable("export " + needed + " is missing");
            }
        }
        if (export(Abi.MEMORY) == null || export(Abi.MEMORY).exportType() != ExternalType.MEMORY) {
            throw new Unusable("a memory must be exported as " + Abi.MEMORY);
        }
        for (Map.Entry<String, FunctionType> known : EXPORTS.entrySet()) {
            Export export = export(known.getKey());
            if (export != null
                    && (export.exportType() != ExternalType.FUNCTION
                            || !known.getValue().equals(functionType(export.index())))) {
                throw new Unusable("export " + known.getKey() + " is of another type than " + known.getValue());
            }
        }
    }

    Export export(String name) {
        for (int i = 0; i < module.exportSection().exportCount(); i++) {
            if (module.exportSection().getExport(i).name().equals(name)) {
                return module.exportSection().getExport(i);
            }
        }
        return null;
    }

    private FunctionType functionType(int index) throws Unusable {
        // All imports are functions: that was looked at first.
        int imported = module.importSection().importCount();
        if (index < imported) {
            throw new Unusable("an import is exported again");
        }
        return type(module.functionSection().getFunctionType(index - imported));
    }

    /** Types of objects come as null or as an exception here: both are no function's. */
    private FunctionType type(int index) throws Unusable {
        FunctionType type = module.typeSection().getType(index);
        if (type == null) {
            throw new Unusable("type " + index + " is no function's");
        }
        return type;
    }

    private void sizes() throws Unusable {
        int memories =
                module.memorySection().map(section -> section.memoryCount()).orElse(0);
        if (memories != 1) {
            throw new Unusable("a module has one memory of its own, not " + memories);
        }
        MemoryLimits memory = module.memorySection().orElseThrow().getMemory(0).limits();
        if (memory.shared() || memory.initialPages() > limits.memoryPages()) {
            throw new Unusable("memory is shared, or of " + memory.initialPages()
                    + " pages at the start, which is over " + limits.memoryPages());
        }
        long entries = 0;
        for (int i = 0; i < module.tableSection().tableCount(); i++) {
            // Without a most of its own a table could grow beyond any limit of ours.
            entries += module.tableSection().getTable(i).limits().max();
        }
        if (entries < 0 || entries > Limits.TABLE_ENTRIES) {
            throw new Unusable("tables may have " + Limits.TABLE_ENTRIES + " entries in all, by their own limits");
        }
        if (module.codeSection().functionBodyCount() > Limits.FUNCTIONS) {
            throw new Unusable("more than " + Limits.FUNCTIONS + " functions");
        }
        if (module.tagSection().isPresent()) {
            throw new Unusable("exceptions are not taken");
        }
    }

    private void instructions() throws Unusable {
        for (FunctionBody body : module.codeSection().functionBodies()) {
            for (AnnotatedInstruction instruction : body.instructions()) {
                check(instruction.opcode());
            }
        }
        for (Global global : module.globalSection().globals()) {
            for (Instruction instruction : global.initInstructions()) {
                check(instruction.opcode());
            }
        }
        for (int i = 0; i < module.elementSection().elementCount(); i++) {
            for (List<Instruction> initializer :
                    module.elementSection().getElement(i).initializers()) {
                for (Instruction instruction : initializer) {
                    check(instruction.opcode());
                }
            }
        }
    }

    private static void check(OpCode code) throws Unusable {
        String name = code.name();
        if (!ALLOWED.contains(name) && !(name.matches("[IF](32|64)_.*") && !name.contains("ATOMIC"))) {
            throw new Unusable("instruction " + name.toLowerCase(java.util.Locale.ROOT) + " is not taken");
        }
    }
}
