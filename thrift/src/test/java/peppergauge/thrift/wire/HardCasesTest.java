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

/** What clients and servers may send that is no message, or an odd one, in every form. */
public class HardCasesTest {

    private static RawMessage simple(Encoding encoding) {
        return Samples.message(encoding, "list", 7, out -> {
            out.writeFieldBegin(new TField("", TType.STRING, (short) 1));
            out.writeString("t1");
        });
    }

    /** A message whose struct is these bytes, with the stop that ends it. */
    private static byte[] raw(Form form, String binary, String compact) {
        byte[] whole = simple(form.encoding()).bytes();
        byte[] body = HexFormat.of().parseHex(form.encoding() == Encoding.COMPACT ? compact : binary);
        byte[] message =
                Samples.join(Arrays.copyOf(whole, simple(form.encoding()).head().bodyAt()), body);
        return form.framed() ? frame(message.length, message) : message;
    }

    private static byte[] frame(int length, byte[]... parts) {
        byte[] all = Samples.join(parts);
        return ByteBuffer.allocate(4 + all.length).putInt(length).put(all).array();
    }

    private static Stream<Form> forms() {
        return Stream.of(Form.values());
    }

    @DataProvider
    public Object[][] refused() {
        String deepBinary = "0c0001".repeat(1_000);
        String deepCompact = "1c".repeat(1_000);
        String[][] bodies = {
            // what it is, binary, compact, why
            {"a list of 2^31 - 1", "0f0001037fffffff", "19f3ffffffff07", "claims more"},
            {"a list of -1", "0f000103ffffffff", "19f3ffffffff0f", "claims more"},
            {"a set of 2^31 - 1", "0e00010a7fffffff", "1af6ffffffff07", "claims more"},
            {"a map of 2^31 - 1", "0d00010b0b7fffffff", "1bffffffff0788", "claims more"},
            {"a map of 40,000 pairs", "0d00010b0b00009c40", "1bc0b80288", "claims more"},
            {"a string of 2^31 - 1", "0b00017fffffff", "18ffffffff07", "beyond"},
            {"a string of -1", "0b0001ffffffff", "18ffffffff0f", "beyond"},
            {"a thousand structs deep", deepBinary, deepCompact, "nested"},
            {"a thousand lists deep", "0f0001" + "0f00000001".repeat(1_000), "19" + "19".repeat(1_000), "nested"},
            {"an unknown type of a field", "010001", "1e", "unknown wire type"},
            {"a type of a field over all", "ff0001", "1f", "unknown wire type"},
            {"an unknown type of entries", "0f00010700000001", "191e", "unknown wire type"},
            {"an unknown type of values", "0d00010b0900000001", "1b018e", "unknown wire type"},
            {"a bool that is neither", "02000102", "192103", "a bool"},
        };
        String[][] compactOnly = {
            {"a varint that never ends", "", "15" + "80".repeat(50), "does not end"},
            {"a long varint of 11 bytes", "", "16" + "80".repeat(10) + "01", "does not end"},
            {"a varint of 33 bits", "", "15ffffffff1f", "over 32 bits"},
            {"a field id over 32,767", "", "05feff0300" + "1500", "a field id over"},
            {"a field id of 17 bits", "", "05ffff0f00", "over 16 bits"},
        };
        return forms().flatMap(form -> Stream.concat(
                                Stream.of(bodies),
                                form.encoding() == Encoding.COMPACT ? Stream.of(compactOnly) : Stream.empty())
                        .map(body -> new Object[] {form, body[0], raw(form, body[1], body[2]), body[3]}))
                .toArray(Object[][]::new);
    }

    /** With its frame made to match, so that the message itself is what is wrong; whole and byte by byte. */
    @Test(dataProvider = "refused")
    public void aMessageThatLiesIsRefusedAtOnceInBoundedMemory(Form form, String what, byte[] bytes, String why) {
        byte[] padded = form.framed() ? frame(60_000, Arrays.copyOfRange(bytes, 4, bytes.length)) : bytes;
        for (int part : new int[] {1, 1 << 20}) {
            Malformed malformed = expectThrows(Malformed.class, () -> Samples.read(null, padded, part));
            assertTrue(malformed.getMessage().contains(why), what + ": " + malformed.getMessage());
        }
    }

    @DataProvider
    public Object[][] frames() {
        return forms().filter(Form::framed)
                .flatMap(form -> {
                    byte[] one = simple(form.encoding()).bytes();
                    return Stream.of(new Object[][] {
                        {form, "too short", frame(one.length - 1, one), "goes on beyond its"},
                        {form, "far too short", frame(3, one), "goes on beyond its"},
                        {form, "too long", frame(one.length + 1, one, new byte[1]), "more than one"},
                        {form, "of two messages", frame(2 * one.length, one, one), "more than one"},
                        {form, "of no length", frame(0, one), "no length"},
                        {form, "negative", frame(-5, one), "no "},
                        {form, "of 2 GB", frame(Integer.MAX_VALUE, one), "a frame over"},
                        {
                            form,
                            "one byte over the bound",
                            frame(Samples.BOUNDS.longestMessage() + 1, one),
                            "a frame over"
                        },
                    });
                })
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "frames")
    public void aFrameWhoseLengthLiesIsRefused(Form form, String what, byte[] bytes, String why) {
        for (Form fixed : new Form[] {form, null}) {
            Malformed malformed = expectThrows(Malformed.class, () -> Samples.read(fixed, bytes, 1));
            assertTrue(malformed.getMessage().contains(why), what + ": " + malformed.getMessage());
        }
    }

    @DataProvider
    public Object[][] forms1() {
        return forms().map(form -> new Object[] {form}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "forms1")
    public void aMessageThatNeverEndsIsRefusedAtTheBound(Form form) {
        byte[] body = raw(form, "0f00010c00003000", "19fc808001");
        byte[] empty = new byte[100_000];
        byte[] endless = form.framed()
                ? frame(65_536, Arrays.copyOfRange(body, 4, body.length), empty)
                : Samples.join(body, "x".repeat(70_000).getBytes());
        expectThrows(Malformed.class, () -> Samples.read(form, endless, 4_096));
    }

    @Test(dataProvider = "forms1")
    public void eachFormIsRecognisedAndReadInPartsAndManyAtOnce(Form form) throws Malformed {
        byte[] one = Rewriting.framed(simple(form.encoding()), form);
        MessageReader reader = new MessageReader(null, Samples.BOUNDS);
        reader.feed(ByteBuffer.wrap(one));
        assertEquals(reader.next().bytes(), simple(form.encoding()).bytes());
        assertEquals(reader.form(), form);
        for (int part = 1; part < 3 * one.length; part++) {
            List<RawMessage> all = Samples.read(null, Samples.join(one, one, one), part);
            assertEquals(all.size(), 3);
            assertEquals(all.get(2).head().name(), "list");
        }
        for (byte[] foreign : new byte[][] {"GET / HTTP/1.1\r\n".getBytes(), {22, 3, 1, 0, 1}, {-1}}) {
            assertTrue(!reads(null, foreign) && !reads(form, foreign), "took " + Arrays.toString(foreign));
        }
    }

    private static boolean reads(Form form, byte[] bytes) {
        try {
            return !Samples.read(form, bytes, 1).isEmpty();
        } catch (Malformed refused) {
            return false;
        }
    }

    @DataProvider
    public Object[][] encodings() {
        return Stream.of(Encoding.values())
                .flatMap(from -> Stream.of(Encoding.values()).map(to -> new Object[] {from, to}))
                .toArray(Object[][]::new);
    }

    /** Bools, doubles, ids out of order, the largest and negative ones, bytes that are no text, empty maps. */
    @Test(dataProvider = "encodings")
    public void whatIsOddButAllowedIsTheSameMessageInAnotherEncoding(Encoding from, Encoding to) throws Malformed {
        Samples.Writing odd = out -> {
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
        RawMessage message = Samples.message(from, "odd", -7, odd);
        assertEquals(
                Rewriting.into(message, to).bytes(),
                Samples.message(to, "odd", -7, odd).bytes());
        assertEquals(Samples.read(null, message.bytes(), 1).size(), 1);
        assertEquals(Fields.find(message, FieldPath.parse("6")).orElseThrow().text(), null);
        assertEquals(Fields.find(message, FieldPath.parse("5")).orElseThrow().number(), -1.5e300);
        assertTrue(Fields.find(message, FieldPath.parse("8.1")).isEmpty());
    }

    /** Compact writes a double from its lowest byte on, binary from its highest. */
    @Test
    public void theByteOrderOfADoubleIsItsEncodings() throws Malformed {
        RawMessage binary = RawMessage.of(Encoding.BINARY, raw(Form.BINARY, "0400013ff800000000000000", ""));
        RawMessage compact = RawMessage.of(Encoding.COMPACT, raw(Form.COMPACT, "", "17000000000000f83f00"));
        assertEquals(Rewriting.into(binary, Encoding.COMPACT).bytes(), compact.bytes());
    }

    @Test(dataProvider = "encodings")
    public void aFieldThatAPathNamesMustNotStandThereTwice(Encoding from, Encoding to) {
        RawMessage twice = Samples.message(from, "list", 1, out -> {
            for (String id : new String[] {"t1", "t2"}) {
                out.writeFieldBegin(new TField("", TType.STRING, (short) 1));
                out.writeString(id);
            }
        });
        expectThrows(Malformed.class, () -> Fields.find(Rewriting.into(twice, to), FieldPath.parse("1")));
    }

    @DataProvider
    public Object[][] numbers() {
        return Stream.of(Encoding.values())
                .flatMap(encoding -> Stream.of(TType.I16, TType.I32, TType.I64, TType.DOUBLE)
                        .map(type -> new Object[] {encoding, type}))
                .toArray(Object[][]::new);
    }

    /** A compact number takes another number of bytes: what follows moves, and nothing else changes. */
    @Test(dataProvider = "numbers")
    public void theRemainingTimeIsRewrittenWhereItStands(Encoding encoding, byte type) throws Malformed {
        FieldPath path = FieldPath.parse("1.3");
        for (long number : new long[] {1, 63, 64, 30_000, 3_600_000}) {
            RawMessage before = timed(encoding, type, 900);
            RawMessage after =
                    Rewriting.number(before, Fields.find(before, path).orElseThrow(), number);
            assertEquals(after.bytes(), timed(encoding, type, number).bytes());
        }
    }

    private static RawMessage timed(Encoding encoding, byte type, long number) {
        return Samples.message(encoding, "list", 7, out -> {
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
