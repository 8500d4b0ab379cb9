package peppergauge.plugin.box;

import com.dylibso.chicory.runtime.ExportFunction;
import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.runtime.Memory;
import com.dylibso.chicory.wasm.ChicoryException;
import com.dylibso.chicory.wasm.types.MemoryLimits;
import peppergauge.plugin.abi.Abi;
import peppergauge.plugin.abi.AnswerView;
import peppergauge.plugin.abi.RecordWriter;
import peppergauge.plugin.abi.SessionView;
import peppergauge.plugin.abi.VerdictReader;
import peppergauge.plugin.rules.Verdict;

/**
 * One instance of a plug-in, for one thread. A call runs until it returns, traps, or its thread is interrupted: both
 * the interpreter and the bytecode look for that at each loop's turn and each call. After a {@link Fault} the instance
 * is in no known state and must be dropped.
 */
public final class Box {

    private final Instance instance;
    private final ExportFunction onSession;
    private final ExportFunction onAnswer;
    private final ExportFunction onTick;
    private final int inbox;

    /** Runs the start function, {@code abi_version} and {@code alloc}: code of the plug-in, under the same guard. */
    public Box(Compiled compiled, Host host) throws Fault {
        try {
            int most = compiled.limits().memoryPages();
            MemoryLimits own =
                    compiled.module().memorySection().orElseThrow().getMemory(0).limits();
            instance = Instance.builder(compiled.module())
                    .withMachineFactory(compiled.machines())
                    .withImportValues(Imports.of(compiled.granted(), host))
                    .withMemoryLimits(new MemoryLimits(own.initialPages(), Math.min(most, own.maximumPages())))
                    .build();
            onSession = instance.export(Abi.ON_SESSION);
            onAnswer = compiled.countsAnswers() ? instance.export(Abi.ON_ANSWER) : null;
            onTick = compiled.ticks() ? instance.export(Abi.ON_TICK) : null;
            long version = instance.export(Abi.ABI_VERSION).apply()[0];
            if (version != Abi.VERSION) {
                throw new Fault("its ABI is of version " + version + ", not " + Abi.VERSION);
            }
            inbox = (int) instance.export(Abi.ALLOC).apply(Abi.INBOX)[0];
            if ((inbox & 0xffff_ffffL) + Abi.INBOX > size()) {
                throw new Fault("alloc gave a place outside the memory");
            }
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | LinkageError broken) {
            throw new Fault(broken);
        }
    }

    public Verdict onSession(SessionView session) throws Fault {
        try {
            byte[] record = RecordWriter.session(session);
            long place = call(onSession, record)[0];
            if (place == 0) {
                return Verdict.PASS;
            }
            long at = place >>> 32;
            long length = place & 0xffff_ffffL;
            if (length > Abi.LONGEST_VERDICT || at + length > size()) {
                throw new Fault("a verdict outside the memory, or too long");
            }
            return VerdictReader.read(instance.memory().readBytes((int) at, (int) length));
        } catch (Abi.Broken | ChicoryException | StackOverflowError | OutOfMemoryError broken) {
            throw new Fault(broken);
        }
    }

    /** Does nothing if the plug-in has no {@code on_answer}. */
    public void onAnswer(AnswerView answer) throws Fault {
        if (onAnswer != null) {
            try {
                call(onAnswer, RecordWriter.answer(answer));
            } catch (Abi.Broken broken) {
                throw new Fault(broken);
            }
        }
    }

    /** Does nothing if the plug-in has no {@code on_tick}. */
    public void onTick() throws Fault {
        if (onTick != null) {
            call(onTick, null);
        }
    }

    private long[] call(ExportFunction function, byte[] record) throws Fault {
        try {
            if (record == null) {
                return function.apply();
            }
            instance.memory().write(inbox, record, 0, record.length);
            return function.apply(inbox, record.length);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError broken) {
            throw new Fault(broken);
        }
    }

    private long size() {
        return (long) instance.memory().pages() * Memory.PAGE_SIZE;
    }
}
