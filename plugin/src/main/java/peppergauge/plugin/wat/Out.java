package peppergauge.plugin.wat;

import java.io.ByteArrayOutputStream;

/** Bytes of a module in the making. */
final class Out extends ByteArrayOutputStream {

    /** A number without sign, in as few bytes as it takes. */
    Out number(long value) {
        long rest = value;
        do {
            int low = (int) (rest & 0x7f);
            rest >>>= 7;
            write(rest == 0 ? low : low | 0x80);
        } while (rest != 0);
        return this;
    }

    Out signed(long value) {
        long rest = value;
        while (true) {
            int low = (int) (rest & 0x7f);
            rest >>= 7;
            if (rest == 0 && (low & 0x40) == 0 || rest == -1 && (low & 0x40) != 0) {
                write(low);
                return this;
            }
            write(low | 0x80);
        }
    }

    Out bytes(int... values) {
        for (int value : values) {
            write(value);
        }
        return this;
    }

    /** The length, then the bytes. */
    Out sized(byte[] content) {
        number(content.length);
        writeBytes(content);
        return this;
    }

    void section(int id, int count, Out content) {
        if (count > 0) {
            Out whole = new Out().number(count);
            whole.writeBytes(content.toByteArray());
            bytes(id).sized(whole.toByteArray());
        }
    }
}
