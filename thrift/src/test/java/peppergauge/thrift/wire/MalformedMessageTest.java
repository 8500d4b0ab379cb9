package peppergauge.thrift.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Malformed messages are rejected, and unusual but valid ones accepted, in every wire format. */
public class MalformedMessageTest {

    private static RawMessage validMessage(Encoding encoding) {
        return SampleMessages.message(encoding, "list", 7, out -> {
            out.writeFieldBegin(new TField("", TType.STRING, (short) 1));
            out.writeString("t1");
        });
    }

    /** A message with these bytes, in hexadecimal, as its body. */
    private static byte[] messageWithBody(WireFormat format, String binary, String compact) {
        byte[] valid = validMessage(format.encoding()).bytes();
        byte[] body = HexFormat.of().parseHex(format.encoding() == Encoding.COMPACT ? compact : binary);
        byte[] message = SampleMessages.join(
                Arrays.copyOf(valid, validMessage(format.encoding()).header().bodyStart()), body);
        return format.framed() ? frame(message.length, message) : message;
    }

    private static byte[] frame(int length, byte[]... parts) {
        byte[] all = SampleMessages.join(parts);
        return ByteBuffer.allocate(4 + all.length).putInt(length).put(all).array();
    }

    private static Stream<WireFormat> allFormats() {
        return Stream.of(WireFormat.values());
    }

    @DataProvider
    public Object[][] malformedBodies() {
        String deepBinary = "0c0001".repeat(1_000);
        String deepCompact = "1c".repeat(1_000);
        String[][] bodies = {
            // description, body in binary, body in compact, expected error
            {"a list of 2^31 - 1", "0f0001037fffffff", "19f3ffffffff07", "container has 2147483647 entries"},
            {"a list of -1", "0f000103ffffffff", "19f3ffffffff0f", "container has -1 entries"},
            {"a set of 2^31 - 1", "0e00010a7fffffff", "1af6ffffffff07", "container has 2147483647 entries"},
            {"a map of 2^31 - 1", "0d00010b0b7fffffff", "1bffffffff0788", "container has 2147483647 entries"},
            {"a map of 40,000 pairs", "0d00010b0b00009c40", "1bc0b80288", "container has 40000 entries"},
            {"a string of 2^31 - 1", "0b00017fffffff", "18ffffffff07", "value has 2147483647 bytes"},
            {"a string of -1", "0b0001ffffffff", "18ffffffff0f", "value has -1 bytes"},
            {"a thousand structs deep", deepBinary, deepCompact, "nesting depth is 33"},
            {
                "a thousand lists deep",
                "0f0001" + "0f00000001".repeat(1_000),
                "19" + "19".repeat(1_000),
                "nesting depth is 33"
            },
            {"an unknown field type", "010001", "1e", "unknown wire type"},
            {"a field type over all known types", "ff0001", "1f", "unknown wire type"},
            {"an unknown element type", "0f00010700000001", "191e", "unknown wire type"},
            {"an unknown map value type", "0d00010b0900000001", "1b018e", "unknown wire type"},
            {"a bool that is neither true nor false", "02000102", "192103", "bool value is "},
        };
        String[][] compactOnly = {
            {"a varint that never ends", "", "15" + "80".repeat(50), "varint has no end within 5 bytes"},
            {"a long varint of 11 bytes", "", "16" + "80".repeat(10) + "01", "varint has no end within 10 bytes"},
            {"a varint of 33 bits", "", "15ffffffff1f", "more than 32 bits"},
            {"a field id over 32,767", "", "05feff0300" + "1500", "field id is 32768"},
            {"a field id of 17 bits", "", "05ffff0f00", "more than 16 bits"},
        };
        return allFormats()
                .flatMap(format -> Stream.concat(
                                Stream.of(bodies),
                                format.encoding() == Encoding.COMPACT ? Stream.of(compactOnly) : Stream.empty())
                        .map(body ->
                                new Object[] {format, body[0], messageWithBody(format, body[1], body[2]), body[3]}))
                .toArray(Object[][]::new);
    }

    /** A frame is longer than its message here, so that the message itself is malformed; at once and byte by byte. */
    @Test(dataProvider = "malformedBodies")
    public void rejectsMalformedBodyWithoutWaitingForMoreInput(
            WireFormat format, String description, byte[] bytes, String expectedError) {
        byte[] padded = format.framed() ? frame(60_000, Arrays.copyOfRange(bytes, 4, bytes.length)) : bytes;
        for (int part : new int[] {1, 1 << 20}) {
            MalformedMessageException malformed =
                    expectThrows(MalformedMessageException.class, () -> SampleMessages.read(null, padded, part));
            assertTrue(
                    malformed.getMessage().contains(expectedError),
                    description + ": expected \"" + expectedError + "\" in: " + malformed.getMessage());
        }
    }

    @DataProvider
    public Object[][] frames() {
        return allFormats()
                .filter(WireFormat::framed)
                .flatMap(format -> {
                    byte[] one = validMessage(format.encoding()).bytes();
                    String noEnd = "message does not end within " + (one.length - 1) + " bytes";
                    String earlyEnd = "its message ends after " + one.length + " bytes";
                    return Stream.of(new Object[][] {
                        {format, "too short", frame(one.length - 1, one), noEnd},
                        {format, "far too short", frame(3, one), "message does not end within 3 bytes"},
                        {format, "too long", frame(one.length + 1, one, new byte[1]), earlyEnd},
                        {format, "of two messages", frame(2 * one.length, one, one), earlyEnd},
                        {format, "of length 0", frame(0, one), "frame length is 0"},
                        {format, "negative", frame(-5, one), "frame length is -5"},
                        {format, "of 2 GB", frame(Integer.MAX_VALUE, one), "frame length is 2147483647"},
                        {
                            format,
                            "one byte over the limit",
                            frame(SampleMessages.LIMITS.maxMessageBytes() + 1, one),
                            "frame length is " + (SampleMessages.LIMITS.maxMessageBytes() + 1)
                        },
                    });
                })
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "frames")
    public void rejectsFrameWithWrongLength(WireFormat format, String description, byte[] bytes, String expectedError) {
        for (WireFormat configured : new WireFormat[] {format, null}) {
            // Format detection rejects the first byte of a negative length.
            String expected = configured == null && bytes[0] < 0 ? "first byte is 255" : expectedError;
            MalformedMessageException malformed =
                    expectThrows(MalformedMessageException.class, () -> SampleMessages.read(configured, bytes, 1));
            assertTrue(
                    malformed.getMessage().contains(expected),
                    description + ": expected \"" + expected + "\" in: " + malformed.getMessage());
        }
    }

    @DataProvider
    public Object[][] formats() {
        return allFormats().map(format -> new Object[] {format}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "formats")
    public void rejectsMessageWithoutEndAtTheSizeLimit(WireFormat format) {
        byte[] body = messageWithBody(format, "0f00010c00003000", "19fc808001");
        byte[] empty = new byte[100_000];
        byte[] endless = format.framed()
                ? frame(65_536, Arrays.copyOfRange(body, 4, body.length), empty)
                : SampleMessages.join(body, "x".repeat(70_000).getBytes());
        expectThrows(MalformedMessageException.class, () -> SampleMessages.read(format, endless, 4_096));
    }

    @Test(dataProvider = "formats")
    public void detectsFormatAndReadsMessagesInPartsAndSeveralAtOnce(WireFormat format)
            throws MalformedMessageException {
        byte[] one = MessageRewriter.frame(validMessage(format.encoding()), format);
        MessageReader reader = new MessageReader(null, SampleMessages.LIMITS);
        reader.feed(ByteBuffer.wrap(one));
        assertEquals(reader.next().bytes(), validMessage(format.encoding()).bytes());
        assertEquals(reader.format(), format);
        for (int part = 1; part < 3 * one.length; part++) {
            List<RawMessage> all = SampleMessages.read(null, SampleMessages.join(one, one, one), part);
            assertEquals(all.size(), 3);
            assertEquals(all.get(2).header().methodName(), "list");
        }
        for (byte[] foreign : new byte[][] {"GET / HTTP/1.1\r\n".getBytes(), {22, 3, 1, 0, 1}, {-1}}) {
            assertTrue(
                    !readsMessage(null, foreign) && !readsMessage(format, foreign),
                    "no message from " + Arrays.toString(foreign));
        }
    }

    private static boolean readsMessage(WireFormat format, byte[] bytes) {
        try {
            return !SampleMessages.read(format, bytes, 1).isEmpty();
        } catch (MalformedMessageException rejected) {
            return false;
        }
    }

    @DataProvider
    public Object[][] encodings() {
        return Stream.of(Encoding.values())
                .flatMap(from -> Stream.of(Encoding.values()).map(to -> new Object[] {from, to}))
                .toArray(Object[][]::new);
    }

    /** Bools, doubles, field ids that are negative or out of order, strings that are not UTF-8, and empty maps. */
    @Test(dataProvider = "encodings")
    public void transcodesUnusualButValidMessages(Encoding from, Encoding to) throws MalformedMessageException {
        SampleMessages.BodyWriter body = out -> {
            short[] ids = {9, 3, Short.MAX_VALUE, -7, Short.MIN_VALUE, 4};
            for (short id : ids) {
                out.writeFieldBegin(new TField("", TType.BOOL, id));
                out.writeBool(id > 3);
            }
            out.writeFieldBegin(new TField("", TType.DOUBLE, (short) 5));
            out.writeDouble(-1.5e300);
            out.writeFieldBegin(new TField("", TType.STRING, (short) 6));
            out.writeBinary(ByteBuffer.wrap(new byte[] {(byte) 0xff, 0, (byte) 0xc3}));
            out.writeFieldBegin(new TField("", TType.MAP, (short) 7));
            out.writeMapBegin(new TMap((byte) 0, (byte) 0, 0));
            out.writeFieldBegin(new TField("", TType.STRUCT, (short) 8));
            out.writeStructBegin(new TStruct());
            out.writeFieldStop();
            out.writeStructEnd();
        };
        RawMessage message = SampleMessages.message(from, "unusual", -7, body);
        assertEquals(
                MessageRewriter.transcode(message, to).bytes(),
                SampleMessages.message(to, "unusual", -7, body).bytes());
        assertEquals(SampleMessages.read(null, message.bytes(), 1).size(), 1);
        assertEquals(
                FieldReader.find(message, FieldPath.parse("6")).orElseThrow().text(), null);
        assertEquals(
                FieldReader.find(message, FieldPath.parse("5")).orElseThrow().number(), -1.5e300);
        assertTrue(FieldReader.find(message, FieldPath.parse("8.1")).isEmpty());
    }

    /** Doubles are little-endian in the compact encoding and big-endian in the binary one. */
    @Test
    public void convertsByteOrderOfDoubles() throws MalformedMessageException {
        RawMessage binary =
                RawMessage.of(Encoding.BINARY, messageWithBody(WireFormat.BINARY, "0400013ff800000000000000", ""));
        RawMessage compact =
                RawMessage.of(Encoding.COMPACT, messageWithBody(WireFormat.COMPACT, "", "17000000000000f83f00"));
        assertEquals(MessageRewriter.transcode(binary, Encoding.COMPACT).bytes(), compact.bytes());
    }

    @Test(dataProvider = "encodings")
    public void rejectsDuplicateFieldOnPath(Encoding from, Encoding to) {
        RawMessage twice = SampleMessages.message(from, "list", 1, out -> {
            for (String id : new String[] {"t1", "t2"}) {
                out.writeFieldBegin(new TField("", TType.STRING, (short) 1));
                out.writeString(id);
            }
        });
        RawMessage transcoded = MessageRewriter.transcode(twice, to);
        expectThrows(MalformedMessageException.class, () -> FieldReader.find(transcoded, FieldPath.parse("1")));
    }

    @DataProvider
    public Object[][] numbers() {
        return Stream.of(Encoding.values())
                .flatMap(encoding -> Stream.of(TType.I16, TType.I32, TType.I64, TType.DOUBLE)
                        .map(type -> new Object[] {encoding, type}))
                .toArray(Object[][]::new);
    }

    /** A compact integer may take another number of bytes, so that the rest of the message moves. */
    @Test(dataProvider = "numbers")
    public void replacesNumberAndNothingElse(Encoding encoding, byte type) throws MalformedMessageException {
        FieldPath path = FieldPath.parse("1.3");
        for (long number : new long[] {1, 63, 64, 30_000, 3_600_000}) {
            RawMessage before = messageWithNumber(encoding, type, 900);
            RawMessage after = MessageRewriter.withNumber(
                    before, FieldReader.find(before, path).orElseThrow(), number);
            assertEquals(
                    after.bytes(), messageWithNumber(encoding, type, number).bytes());
        }
    }

    private static RawMessage messageWithNumber(Encoding encoding, byte type, long number) {
        return SampleMessages.message(encoding, "list", 7, out -> {
            out.writeFieldBegin(new TField("", TType.STRUCT, (short) 1));
            out.writeStructBegin(new TStruct());
            out.writeFieldBegin(new TField("", type, (short) 3));
            switch (type) {
                case TType.I16 -> out.writeI16((short) Math.min(number, Short.MAX_VALUE));
                case TType.I32 -> out.writeI32((int) number);
                case TType.I64 -> out.writeI64(number);
                default -> out.writeDouble(number);
            }
            out.writeFieldStop();
            out.writeStructEnd();
            out.writeFieldBegin(new TField("", TType.STRING, (short) 20));
            out.writeString("after");
        });
    }
}
