package peppergauge.plugin.box;

import com.dylibso.chicory.compiler.InterpreterFallback;
import com.dylibso.chicory.compiler.MachineFactoryCompiler;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.runtime.InterpreterMachine;
import com.dylibso.chicory.runtime.Machine;
import com.dylibso.chicory.wasm.Parser;
import com.dylibso.chicory.wasm.WasmModule;
import java.util.Set;
import java.util.function.Function;
import peppergauge.plugin.abi.Abi;

/** A module that has passed all checks, its code ready; immutable, each {@link Box} is an instance of it. */
public final class Compiled {

    private final WasmModule module;
    private final Function<Instance, Machine> machines;
    private final Set<Capability> granted;
    private final Limits limits;
    private final boolean countsAnswers;
    private final boolean ticks;

    private Compiled(WasmModule module, Function<Instance, Machine> machines, Set<Capability> granted, Limits limits) {
        this.module = module;
        this.machines = machines;
        this.granted = Set.copyOf(granted);
        this.limits = limits;
        ModuleCheck check = new ModuleCheck(module, limits);
        countsAnswers = check.export(Abi.ON_ANSWER) != null;
        ticks = check.export(Abi.ON_TICK) != null;
    }

    /**
     * Nothing of the module runs here. Takes as long as its length: call it where waiting is allowed.
     *
     * @throws Unusable whatever is wrong with the bytes
     */
    public static Compiled of(byte[] bytes, Set<Capability> granted, Limits limits) throws Unusable {
        if (bytes.length > limits.moduleBytes()) {
            throw new Unusable("a module of " + bytes.length + " bytes, which is over " + limits.moduleBytes());
        }
        try {
            WasmModule module = Parser.parse(bytes);
            new ModuleCheck(module, limits).run(Imports.types(granted));
            Function<Instance, Machine> machines = limits.interpreted()
                    ? InterpreterMachine::new
                    : MachineFactoryCompiler.builder(module)
                            // What is too long for a method of the Java machine runs all the same, slower.
                            .withInterpreterFallback(InterpreterFallback.SILENT)
                            .compile();
            return new Compiled(module, machines, granted, limits);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | LinkageError broken) {
            // The parser's exceptions are its own matter, and a flipped length makes it ask for too much memory.
            throw new Unusable("not a usable module: " + broken.getMessage());
        }
    }

    WasmModule module() {
        return module;
    }

    Function<Instance, Machine> machines() {
        return machines;
    }

    Set<Capability> granted() {
        return granted;
    }

    Limits limits() {
        return limits;
    }

    /** Whether it exports {@code on_answer}. */
    public boolean countsAnswers() {
        return countsAnswers;
    }

    /** Whether it exports {@code on_tick}. */
    public boolean ticks() {
        return ticks;
    }
}
