package peppergauge.plugin.wat;

import java.io.ByteArrayOutputStream;

/** Writes the binary format of a module. */
final class BinaryWriter extends ByteArrayOutputStream {

    /** Writes an unsigned integer as LEB128. */
    BinaryWriter unsigned(long value) {
        long rest = value;
        do {
            int low = (int) (rest & 0x7f);
            rest >>>= 7;
            write(rest == 0 ? low : low | 0x80);
        } while (rest != 0);
        return this;
    }

    /** Writes a signed integer as LEB128. */
    BinaryWriter signed(long value) {
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

    BinaryWriter bytes(int... values) {
        for (int value : values) {
            write(value);
        }
        return this;
    }

    /** Writes the length of the content and the content. */
    BinaryWriter vector(byte[] content) {
        unsigned(content.length);
        writeBytes(content);
        return this;
    }

    /** Writes a section, which is left out if it has no entries. */
    void section(int id, int count, BinaryWriter content) {
        if (count > 0) {
            BinaryWriter section = new BinaryWriter().unsigned(count);
            section.writeBytes(content.toByteArray());
            bytes(id).vector(section.toByteArray());
        }
    }
}
