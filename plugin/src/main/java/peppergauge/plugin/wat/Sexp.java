package peppergauge.plugin.wat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads a text of nested brackets: a list of atoms (String), texts in quotes (byte[]) and lists. */
final class Sexp {

    private static final int DEEPEST = 200;
    private static final String ESCAPES = "nrt\"'\\";
    private static final String ESCAPED = "\n\r\t\"'\\";

    private final String text;
    private int at;

    Sexp(String text) {
        this.text = text;
    }

    /** Everything up to the end; an {@link IllegalArgumentException} names the line that is at fault. */
    List<Object> read() {
        List<Object> all = list(0);
        if (at < text.length()) {
            throw fault("a bracket is closed that was not opened");
        }
        return all;
    }

    private IllegalArgumentException fault(String why) {
        return new IllegalArgumentException("line "
                + (1
                        + text.substring(0, Math.min(at, text.length()))
                                .chars()
                                .filter(c -> c == '\n')
                                .count()) + ": " + why);
    }

    private List<Object> list(int depth) {
        if (depth > DEEPEST) {
            throw fault("brackets are nested too deeply");
        }
        List<Object> items = new ArrayList<>();
        while (skipSpace() && text.charAt(at) != ')') {
            char next = text.charAt(at);
            if (next == '(') {
                at++;
                items.add(list(depth + 1));
                if (at >= text.length()) {
                    throw fault("a bracket is not closed");
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
                    throw fault("a stray " + next);
                }
                items.add(text.substring(start, at));
            }
        }
        return items;
    }

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
            int escape = at < text.length() ? ESCAPES.indexOf(text.charAt(at)) : -1;
            if (escape >= 0) {
                bytes.write(ESCAPED.charAt(escape));
            } else if (at + 1 < text.length()
                    && Character.digit(text.charAt(at), 16) >= 0
                    && Character.digit(text.charAt(at + 1), 16) >= 0) {
                bytes.write(Integer.parseInt(text.substring(at, at + 2), 16));
                at++;
            } else {
                throw fault("an unknown escape");
            }
        }
        if (at++ >= text.length()) {
            throw fault("a text is not closed");
        }
        return bytes.toByteArray();
    }
}
