package peppergauge.discovery;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class JsonObjectSplitterTest {

    /** Splits a text: each object as [object] without white space, a blank line as a dot, an error as !. */
    private static String split(String text, int bytesPerRead) {
        StringBuilder result = new StringBuilder();
        JsonObjectSplitter splitter = new JsonObjectSplitter(new JsonObjectSplitter.Sink() {
            @Override
            public void onObject(byte[] object) {
                String objectText = new String(object, StandardCharsets.UTF_8);
                result.append('[').append(objectText.replaceAll("\\s", "")).append(']');
            }

            @Override
            public void onBlankLine() {
                result.append('.');
            }
        });
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            for (int from = 0; from < bytes.length; from += bytesPerRead) {
                splitter.write(ByteBuffer.wrap(bytes, from, Math.min(bytesPerRead, bytes.length - from)));
            }
        } catch (IOException truncated) {
            result.append('!');
        }
        return result.toString();
    }

    @DataProvider
    public Object[][] texts() {
        return new Object[][] {
            {"{\"a\":[1]}\n{\"b\":2}\n", "[{\"a\":[1]}][{\"b\":2}]"},
            {"\n\n{}\n", "..[{}]"},
            {"{\n \"a\" : {\r\n\t}\n}\n\n", "[{\"a\":{}}]."},
            {"{}", "[{}]"},
            // Brackets and quotes within a string do not delimit objects.
            {"{\"a\":\"}\"}\n", "[{\"a\":\"}\"}]"},
            {"{\"a\":\"{[\\\"\"}\n", "[{\"a\":\"{[\\\"\"}]"},
            {"{\"a\":\"\\\\\"}\n{}\n", "[{\"a\":\"\\\\\"}][{}]"},
            // One blank line within an object is valid; two mean that it is truncated.
            {"{\"a\":\n\n1}\n", "[{\"a\":1}]"},
            {"{\"a\":[\n\n\n{}\n", "!"},
            {"{\"a\n{}\n", "!"},
            // Truncated where an object may follow: detected by the next object without a separator.
            {"{\"a\":[{}\n{}\n", "!"},
            {"{\"a\":[{}\n\n{}\n", "!"},
            {"{\"a\":[\n{}\n,{}\n]}\n", "[{\"a\":[{},{}]}]"},
            {"{\"a\":[\n{\n},\n{\n}]}\n", "[{\"a\":[{},{}]}]"},
            {"nonsense\n{}\n", "[nonsense][{}]"},
            {"{ nonsense\n{}\n", "!"},
            {"]}\n{}\n", "[]}][{}]"},
        };
    }

    @Test(dataProvider = "texts")
    public void splitsObjectsForAnyReadSize(String text, String expected) {
        for (int bytesPerRead = 1; bytesPerRead <= text.length(); bytesPerRead++) {
            assertEquals(split(text, bytesPerRead), expected, bytesPerRead + " bytes per read");
        }
    }
}
