package peppergauge.plugin.abi;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import peppergauge.plugin.rules.HeaderRules;
import peppergauge.plugin.rules.Verdict;

/** Reads verdicts. Whatever the bytes are, the outcome is a verdict or {@link Abi.Broken}, at a bounded cost. */
public final class VerdictReader {

    private static final int PASS = 0;
    private static final int TAG = 1;
    private static final int DENY = 2;
    private static final int SET = 1;
    private static final int REMOVE = 2;

    private VerdictReader() {}

    public static Verdict read(byte[] bytes) throws Abi.Broken {
        ByteBuffer in = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        try {
            int kind = in.get();
            Verdict verdict = switch (kind) {
                case PASS -> Verdict.PASS;
                case TAG -> tag(in);
                case DENY -> deny(in);
                default -> throw new Abi.Broken("verdict of unknown kind " + kind);
            };
            if (in.hasRemaining()) {
                throw new Abi.Broken("a verdict with bytes behind it");
            }
            return verdict;
        } catch (BufferUnderflowException tooShort) {
            throw new Abi.Broken("a verdict that breaks off");
        }
    }

    private static Verdict tag(ByteBuffer in) throws Abi.Broken {
        int count = in.get() & 0xff;
        if (count > HeaderRules.MOST_CHANGES) {
            throw new Abi.Broken(count + " headers at once");
        }
        List<Verdict.Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int what = in.get();
            int nameLength = in.get() & 0xff;
            int valueLength = in.getShort() & 0xffff;
            if (what != SET && what != REMOVE
                    || nameLength > HeaderRules.LONGEST_NAME
                    || valueLength > HeaderRules.LONGEST_VALUE
                    || what == REMOVE && valueLength > 0) {
                throw new Abi.Broken("an unusable change of headers");
            }
            changes.add(new Verdict.Change(what == SET, text(in, nameLength), text(in, valueLength)));
        }
        return new Verdict.Tag(changes);
    }

    private static Verdict deny(ByteBuffer in) throws Abi.Broken {
        int length = in.get() & 0xff;
        long retryAfterMs = in.getInt() & 0xffff_ffffL;
        if (length > Abi.LONGEST_REASON || retryAfterMs > Abi.LONGEST_RETRY_AFTER_MS) {
            throw new Abi.Broken("an unusable denial");
        }
        String reason = text(in, length);
        if (reason.chars().anyMatch(letter -> letter < ' ' || letter >= 0x7f)) {
            throw new Abi.Broken("a reason that is not printable");
        }
        return new Verdict.Deny(reason, retryAfterMs);
    }

    private static String text(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
