package peppergauge.thrift.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.thrift.protocol.TType;

/**
 * Finds the end of a message by its wire types, without the definitions of its structs. It resumes where it stopped
 * when more bytes arrive, so that a message that arrives byte by byte costs no more than one that arrives at once.
 *
 * <p>The Thrift library can read an accepted message without exceeding a limit. Input that two readers could interpret
 * differently (a bool other than true or false, a field id of more than 16 bits) is rejected: otherwise the sidecar and
 * a backend server might disagree on where the message ends or what it contains. Not thread-safe.
 */
final class MessageScanner {

    /** Types of {@code TType} by their compact types, of which 1 and 2 are true and false. */
    private static final byte[] TYPES_BY_COMPACT_TYPE = {
        TType.STOP,
        TType.BOOL,
        TType.BOOL,
        TType.BYTE,
        TType.I16,
        TType.I32,
        TType.I64,
        TType.DOUBLE,
        TType.STRING,
        TType.LIST,
        TType.SET,
        TType.MAP,
        TType.STRUCT,
        TType.UUID
    };

    /** The value of a compact list's size bits if the size follows as a varint. */
    private static final int COMPACT_LONG_LIST = 15;

    private static final int MAX_BINARY_BOOL = 1;
    private static final int MAX_COMPACT_BOOL = 2;

    private final Encoding encoding;
    private final boolean isCompact;
    private final int maxBytes;
    private final int maxDepth;
    private final MessageView view = new MessageView();
    private final Deque<OpenValue> openValues = new ArrayDeque<>(4);
    private MessageHeader header;
    private int position;
    /** Bytes of the present value that are still to be skipped. */
    private int bytesToSkip;

    private boolean isComplete;

    /** A struct or container of which the end was not reached yet. */
    private static final class OpenValue {

        final boolean isStruct;
        /** The type of the keys of a map, or of the elements of a list or set. */
        final byte keyType;
        /** The type of the values of a map, or of the elements of a list or set. */
        final byte valueType;
        /** Keys and values of a map, or elements of a list or set, that were not read yet. */
        int remainingElements;

        int lastFieldId;

        OpenValue(boolean isStruct, byte keyType, byte valueType, int remainingElements) {
            this.isStruct = isStruct;
            this.keyType = keyType;
            this.valueType = valueType;
            this.remainingElements = remainingElements;
        }

        /** The type of the next element; keys and values of a map alternate, beginning with a key. */
        byte nextElementType() {
            return remainingElements % 2 == 0 ? keyType : valueType;
        }
    }

    /** @param maxBytes of the message, by its frame or the limits */
    MessageScanner(Encoding encoding, int maxBytes, int maxDepth) {
        this.encoding = encoding;
        this.isCompact = encoding == Encoding.COMPACT;
        this.maxBytes = maxBytes;
        this.maxDepth = maxDepth;
    }

    /** The header; null until it has arrived completely. */
    MessageHeader header() {
        return header;
    }

    /** The number of bytes scanned; once the message is complete, its length. */
    int position() {
        return position;
    }

    /**
     * Scans the bytes that have arrived.
     *
     * @param bytes with the message from {@code start} on, including the bytes of earlier calls
     * @param count how many bytes have arrived
     * @return whether the message is complete
     */
    boolean advance(byte[] bytes, int start, int count) throws MalformedMessageException {
        view.wrap(bytes, start, Math.min(count, maxBytes));
        while (!isComplete) {
            int skipped = Math.min(bytesToSkip, view.available() - position);
            position += skipped;
            bytesToSkip -= skipped;
            if (bytesToSkip > 0 || !scanNext()) {
                if (view.available() == maxBytes) {
                    throw new MalformedMessageException("message does not end within " + maxBytes + " bytes");
                }
                return false;
            }
        }
        return true;
    }

    /** Scans the header, a field, an element or an end; returns false, without a change, if it has not arrived. */
    private boolean scanNext() throws MalformedMessageException {
        if (header == null) {
            header = MessageHeader.read(encoding, view);
            if (header != null) {
                position = header.bodyStart();
                openStruct();
            }
            return header != null;
        }
        OpenValue innermost = openValues.peek();
        if (innermost.isStruct) {
            return isCompact ? scanCompactField(innermost) : scanBinaryField();
        }
        if (innermost.remainingElements == 0) {
            closeValue();
            return true;
        }
        boolean isScanned = scanValue(innermost.nextElementType());
        innermost.remainingElements -= isScanned ? 1 : 0;
        return isScanned;
    }

    private void openStruct() throws MalformedMessageException {
        open(new OpenValue(true, TType.STOP, TType.STOP, 0));
    }

    private void open(OpenValue value) throws MalformedMessageException {
        if (openValues.size() >= maxDepth) {
            throw new MalformedMessageException(
                    "nesting depth is " + (openValues.size() + 1) + "; expected at most " + maxDepth);
        }
        openValues.push(value);
    }

    private void closeValue() {
        openValues.pop();
        isComplete = openValues.isEmpty();
    }

    // ---- Fields ----

    private boolean scanBinaryField() throws MalformedMessageException {
        if (!view.hasBytes(position + 1)) {
            return false;
        }
        byte type = (byte) view.byteAt(position);
        if (type == TType.STOP) {
            position++;
            closeValue();
            return true;
        }
        checkedType(type);
        if (!view.hasBytes(position + 3)) {
            return false;
        }
        int fieldStart = position;
        position += 3;
        return scanFieldValue(type, fieldStart);
    }

    private boolean scanCompactField(OpenValue struct) throws MalformedMessageException {
        if (!view.hasBytes(position + 1)) {
            return false;
        }
        int first = view.byteAt(position);
        if (first == TType.STOP) {
            position++;
            closeValue();
            return true;
        }
        byte type = checkedType(typeOfCompactType(first & 0x0f));
        int headerBytes = 1;
        int idDelta = first >> 4;
        int id = struct.lastFieldId + idDelta;
        if (idDelta == 0) {
            int idBytes = view.readVarint(position + 1, 16);
            if (idBytes == 0) {
                return false;
            }
            headerBytes += idBytes;
            id = (int) (view.varintValue() >>> 1) ^ -(int) (view.varintValue() & 1);
        }
        if (id > Short.MAX_VALUE) {
            throw new MalformedMessageException("field id is " + id + "; expected at most " + Short.MAX_VALUE);
        }
        int fieldStart = position;
        position += headerBytes;
        if (type != TType.BOOL && !scanFieldValue(type, fieldStart)) {
            return false;
        }
        struct.lastFieldId = id;
        return true;
    }

    /** Scans the value of a field; goes back to the start of the field if not enough of the value has arrived. */
    private boolean scanFieldValue(byte type, int fieldStart) throws MalformedMessageException {
        boolean isScanned = scanValue(type);
        position = isScanned ? position : fieldStart;
        return isScanned;
    }

    private static byte typeOfCompactType(int compactType) throws MalformedMessageException {
        if (compactType >= TYPES_BY_COMPACT_TYPE.length) {
            throw unknownType(compactType);
        }
        return TYPES_BY_COMPACT_TYPE[compactType];
    }

    private static byte checkedType(byte type) throws MalformedMessageException {
        switch (type) {
            case TType.BOOL,
                    TType.BYTE,
                    TType.DOUBLE,
                    TType.I16,
                    TType.I32,
                    TType.I64,
                    TType.STRING,
                    TType.STRUCT,
                    TType.MAP,
                    TType.SET,
                    TType.LIST,
                    TType.UUID -> {
                return type;
            }
            default -> throw unknownType(type & 0xff);
        }
    }

    private static MalformedMessageException unknownType(int type) {
        return new MalformedMessageException("unknown wire type " + type);
    }

    // ---- Values ----

    /**
     * Scans of a value what determines its end; the rest is skipped later. Returns false, without a change, if that has
     * not arrived.
     */
    private boolean scanValue(byte type) throws MalformedMessageException {
        return switch (type) {
            case TType.BOOL -> scanBool();
            case TType.BYTE -> skipBytes(1);
            case TType.I16 -> isCompact ? skipVarint(16) : skipBytes(2);
            case TType.I32 -> isCompact ? skipVarint(32) : skipBytes(4);
            case TType.I64 -> isCompact ? skipVarint(64) : skipBytes(8);
            case TType.DOUBLE -> skipBytes(8);
            case TType.UUID -> skipBytes(16);
            case TType.STRING -> scanString();
            case TType.STRUCT -> {
                openStruct();
                yield true;
            }
            case TType.MAP -> isCompact ? scanCompactMap() : scanBinaryMap();
            default -> isCompact ? scanCompactList() : scanBinaryList();
        };
    }

    private boolean scanBool() throws MalformedMessageException {
        if (!view.hasBytes(position + 1)) {
            return false;
        }
        int bool = view.byteAt(position);
        int maxBool = isCompact ? MAX_COMPACT_BOOL : MAX_BINARY_BOOL;
        if (bool > maxBool) {
            throw new MalformedMessageException("bool value is " + bool + "; expected at most " + maxBool);
        }
        position++;
        return true;
    }

    private boolean skipBytes(int length) throws MalformedMessageException {
        int maxLength = maxBytes - position;
        if (length < 0 || length > maxLength) {
            throw new MalformedMessageException("value has " + length + " bytes; expected 0 to " + maxLength);
        }
        bytesToSkip = length;
        return true;
    }

    private boolean skipVarint(int maxBits) throws MalformedMessageException {
        int length = view.readVarint(position, maxBits);
        position += length;
        return length > 0;
    }

    private boolean scanString() throws MalformedMessageException {
        int lengthBytes = isCompact ? view.readVarint(position, 32) : view.hasBytes(position + 4) ? 4 : 0;
        if (lengthBytes == 0) {
            return false;
        }
        int length = isCompact ? (int) view.varintValue() : view.int32At(position);
        position += lengthBytes;
        return skipBytes(length);
    }

    private boolean scanBinaryMap() throws MalformedMessageException {
        if (!view.hasBytes(position + 6)) {
            return false;
        }
        int size = view.int32At(position + 2);
        byte keyType = (byte) view.byteAt(position);
        byte valueType = (byte) view.byteAt(position + 1);
        position += 6;
        return openContainer(keyType, valueType, size, 2);
    }

    private boolean scanCompactMap() throws MalformedMessageException {
        int sizeBytes = view.readVarint(position, 32);
        if (sizeBytes == 0) {
            return false;
        }
        int size = (int) view.varintValue();
        if (size == 0) {
            // An empty map has no byte for its types.
            position += sizeBytes;
            return true;
        }
        if (!view.hasBytes(position + sizeBytes + 1)) {
            return false;
        }
        int types = view.byteAt(position + sizeBytes);
        byte keyType = typeOfCompactType(types >> 4);
        byte valueType = typeOfCompactType(types & 0x0f);
        position += sizeBytes + 1;
        return openContainer(keyType, valueType, size, 2);
    }

    private boolean scanBinaryList() throws MalformedMessageException {
        if (!view.hasBytes(position + 5)) {
            return false;
        }
        byte elementType = (byte) view.byteAt(position);
        int size = view.int32At(position + 1);
        position += 5;
        return openContainer(elementType, elementType, size, 1);
    }

    private boolean scanCompactList() throws MalformedMessageException {
        if (!view.hasBytes(position + 1)) {
            return false;
        }
        int size = view.byteAt(position) >> 4;
        int headerBytes = 1;
        if (size == COMPACT_LONG_LIST) {
            int sizeBytes = view.readVarint(position + 1, 32);
            if (sizeBytes == 0) {
                return false;
            }
            size = (int) view.varintValue();
            headerBytes += sizeBytes;
        }
        byte elementType = typeOfCompactType(view.byteAt(position) & 0x0f);
        position += headerBytes;
        return openContainer(elementType, elementType, size, 1);
    }

    /**
     * Opens a container unless it is empty.
     *
     * @param size pairs of a map, elements of a list or set
     * @param valuesPerEntry 2 for a map, 1 for a list or set; each value has at least one byte
     */
    private boolean openContainer(byte keyType, byte valueType, int size, int valuesPerEntry)
            throws MalformedMessageException {
        int maxSize = (maxBytes - position) / valuesPerEntry;
        if (size < 0 || size > maxSize) {
            throw new MalformedMessageException("container has " + size + " entries; expected 0 to " + maxSize);
        }
        if (size > 0 || keyType != TType.STOP || valueType != TType.STOP) {
            // The types of an empty container have no meaning, and some writers set them to 0.
            checkedType(keyType);
            checkedType(valueType);
        }
        if (size > 0) {
            open(new OpenValue(false, keyType, valueType, size * valuesPerEntry));
        }
        return true;
    }
}
