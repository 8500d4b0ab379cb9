package peppergauge.plugin.wat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Parses S-expressions into lists of atoms (String), quoted strings (byte[]) and nested lists. */
final class SExpressionParser {

    private static final int MAX_DEPTH = 200;
    private static final String ESCAPE_LETTERS = "nrt\"'\\";
    private static final String ESCAPED_CHARS = "\n\r\t\"'\\";

    private final String text;
    private int at;

    SExpressionParser(String text) {
        this.text = text;
    }

    /** @throws IllegalArgumentException with the line and the reason if the text is malformed */
    List<Object> parse() {
        List<Object> all = list(0);
        if (at < text.length()) {
            throw error("unexpected )");
        }
        return all;
    }

    private IllegalArgumentException error(String reason) {
        return new IllegalArgumentException("line "
                + (1
                        + text.substring(0, Math.min(at, text.length()))
                                .chars()
                                .filter(c -> c == '\n')
                                .count()) + ": " + reason);
    }

    private List<Object> list(int depth) {
        if (depth > MAX_DEPTH) {
            throw error("lists are nested deeper than " + MAX_DEPTH);
        }
        List<Object> items = new ArrayList<>();
        while (skipSpace() && text.charAt(at) != ')') {
            char next = text.charAt(at);
            if (next == '(') {
                at++;
                items.add(list(depth + 1));
                if (at >= text.length()) {
                    throw error("missing )");
                }
                at++;
            } else if (next == '"') {
                items.add(quoted());
            } else {
                int start = at;
                while (at < text.length() && " \t\r\n()\";".indexOf(text.charAt(at)) < 0) {
                    at++;
                }
                if (at == start) {
                    throw error("unexpected " + next);
                }
                items.add(text.substring(start, at));
            }
        }
        return items;
    }

    /** Skips blanks and comments; returns false at the end of the text. */
    private boolean skipSpace() {
        while (at < text.length()) {
            if (text.startsWith(";;", at)) {
                at = text.indexOf('\n', at) < 0 ? text.length() : text.indexOf('\n', at);
            } else if (text.startsWith("(;", at)) {
                at = text.indexOf(";)", at) < 0 ? text.length() : text.indexOf(";)", at) + 2;
            } else if (Character.isWhitespace(text.charAt(at))) {
                at++;
            } else {
                return true;
            }
        }
        return false;
    }

    private byte[] quoted() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (at++; at < text.length() && text.charAt(at) != '"'; at++) {
            char next = text.charAt(at);
            if (next != '\\') {
                bytes.writeBytes(String.valueOf(next).getBytes(StandardCharsets.UTF_8));
                continue;
            }
            at++;
            int escape = at < text.length() ? ESCAPE_LETTERS.indexOf(text.charAt(at)) : -1;
            if (escape >= 0) {
                bytes.write(ESCAPED_CHARS.charAt(escape));
            } else if (at + 1 < text.length()
                    && Character.digit(text.charAt(at), 16) >= 0
                    && Character.digit(text.charAt(at + 1), 16) >= 0) {
                bytes.write(Integer.parseInt(text.substring(at, at + 2), 16));
                at++;
            } else {
                throw error("unknown escape sequence");
            }
        }
        if (at++ >= text.length()) {
            throw error("string is not terminated");
        }
        return bytes.toByteArray();
    }
}
