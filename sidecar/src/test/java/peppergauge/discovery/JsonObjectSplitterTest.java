package peppergauge.discovery;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class JsonObjectSplitterTest {

    /** What is cut out: each object as [object] without its line ends, an empty line as a dot, a torn text as !. */
    private static String cut(String text, int pieces) {
        StringBuilder seen = new StringBuilder();
        JsonObjectSplitter news = new JsonObjectSplitter(new JsonObjectSplitter.Sink() {
            @Override
            public void onObject(byte[] object) {
                String whole = new String(object, StandardCharsets.UTF_8);
                seen.append('[').append(whole.replaceAll("\\s", "")).append(']');
            }

            @Override
            public void onBlankLine() {
                seen.append('.');
            }
        });
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            for (int from = 0; from < bytes.length; from += pieces) {
                news.write(ByteBuffer.wrap(bytes, from, Math.min(pieces, bytes.length - from)));
            }
        } catch (IOException torn) {
            seen.append('!');
        }
        return seen.toString();
    }

    @DataProvider
    public Object[][] texts() {
        return new Object[][] {
            {"{\"a\":[1]}\n{\"b\":2}\n", "[{\"a\":[1]}][{\"b\":2}]"},
            {"\n\n{}\n", "..[{}]"},
            {"{\n \"a\" : {\r\n\t}\n}\n\n", "[{\"a\":{}}]."},
            {"{}", "[{}]"},
            // Brackets and quotes within a text are none.
            {"{\"a\":\"}\"}\n", "[{\"a\":\"}\"}]"},
            {"{\"a\":\"{[\\\"\"}\n", "[{\"a\":\"{[\\\"\"}]"},
            {"{\"a\":\"\\\\\"}\n{}\n", "[{\"a\":\"\\\\\"}][{}]"},
            // Laid out with an empty line in it, and broken off with discovery going on.
            {"{\"a\":\n\n1}\n", "[{\"a\":1}]"},
            {"{\"a\":[\n\n\n{}\n", "!"},
            {"{\"a\n{}\n", "!"},
            // Broken off where an object may stand: the second one after it shows that discovery has gone on without
            // it.
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
    public void objectsAreCutOutWhereverTheReadsEnd(String text, String expected) {
        for (int pieces = 1; pieces <= text.length(); pieces++) {
            assertEquals(cut(text, pieces), expected, "in pieces of " + pieces);
        }
    }
}
