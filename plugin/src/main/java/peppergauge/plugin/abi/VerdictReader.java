package peppergauge.plugin.abi;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import peppergauge.plugin.rules.HeaderPolicy;
import peppergauge.plugin.rules.Verdict;

/**
 * Decodes verdicts. Any bytes give either a verdict or an {@link Abi.ViolationException}, within bounded time and
 * memory.
 */
public final class VerdictReader {

    private static final int PASS = 0;
    private static final int TAG = 1;
    private static final int DENY = 2;
    private static final int SET_HEADER = 1;
    private static final int REMOVE_HEADER = 2;

    private VerdictReader() {}

    /** @throws Abi.ViolationException if the bytes are not exactly one verdict */
    public static Verdict read(byte[] bytes) throws Abi.ViolationException {
        ByteBuffer in = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        try {
            int kind = in.get();
            Verdict verdict = switch (kind) {
                case PASS -> Verdict.PASS;
                case TAG -> readTag(in);
                case DENY -> readDeny(in);
                default -> throw new Abi.ViolationException("unknown verdict kind " + kind + ", expected 0, 1 or 2");
            };
            if (in.hasRemaining()) {
                throw new Abi.ViolationException("verdict has " + in.remaining() + " trailing bytes");
            }
            return verdict;
        } catch (BufferUnderflowException tooShort) {
            throw new Abi.ViolationException("verdict of " + bytes.length + " bytes is truncated");
        }
    }

    private static Verdict readTag(ByteBuffer in) throws Abi.ViolationException {
        int count = in.get() & 0xff;
        if (count > HeaderPolicy.MAX_CHANGES) {
            throw new Abi.ViolationException(
                    "verdict changes " + count + " headers, at most " + HeaderPolicy.MAX_CHANGES + " are allowed");
        }
        List<Verdict.HeaderChange> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int operation = in.get();
            int nameLength = in.get() & 0xff;
            int valueLength = in.getShort() & 0xffff;
            if (operation != SET_HEADER && operation != REMOVE_HEADER
                    || nameLength > HeaderPolicy.MAX_NAME_CHARS
                    || valueLength > HeaderPolicy.MAX_VALUE_CHARS
                    || operation == REMOVE_HEADER && valueLength > 0) {
                throw new Abi.ViolationException("invalid header change: operation " + operation + ", name of "
                        + nameLength + " bytes (limit " + HeaderPolicy.MAX_NAME_CHARS + "), value of " + valueLength
                        + " bytes (limit " + HeaderPolicy.MAX_VALUE_CHARS + ", 0 for a removal)");
            }
            changes.add(new Verdict.HeaderChange(
                    operation == SET_HEADER, readText(in, nameLength), readText(in, valueLength)));
        }
        return new Verdict.Tag(changes);
    }

    private static Verdict readDeny(ByteBuffer in) throws Abi.ViolationException {
        int length = in.get() & 0xff;
        long retryAfterMs = in.getInt() & 0xffff_ffffL;
        if (length > Abi.MAX_REASON_CHARS || retryAfterMs > Abi.MAX_RETRY_AFTER_MS) {
            throw new Abi.ViolationException(
                    "invalid denial: reason of " + length + " bytes (limit " + Abi.MAX_REASON_CHARS + "), retry after "
                            + retryAfterMs + " ms (limit " + Abi.MAX_RETRY_AFTER_MS + ")");
        }
        String reason = readText(in, length);
        if (reason.chars().anyMatch(c -> c < ' ' || c >= 0x7f)) {
            throw new Abi.ViolationException("denial reason has characters outside printable ASCII");
        }
        return new Verdict.Deny(reason, retryAfterMs);
    }

    private static String readText(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
