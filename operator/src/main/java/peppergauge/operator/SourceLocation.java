package peppergauge.operator;

import org.tomlj.TomlPosition;

/**
 * A location in an operator file.
 *
 * @param file the file's name as the caller gave it
 * @param line from 1; 0 for the file as a whole
 * @param column from 1; 0 for the line as a whole
 */
public record SourceLocation(String file, int line, int column) {

    static SourceLocation wholeFile(String file) {
        return new SourceLocation(file, 0, 0);
    }

    static SourceLocation wholeLine(String file, int line) {
        return new SourceLocation(file, line, 0);
    }

    static SourceLocation startOf(String file) {
        return new SourceLocation(file, 1, 1);
    }

    /** Converts a position of the TOML parser; null becomes the start of the file. */
    static SourceLocation of(String file, TomlPosition position) {
        return position == null ? startOf(file) : new SourceLocation(file, position.line(), position.column());
    }

    @Override
    public String toString() {
        return line == 0 ? file : column == 0 ? file + ":" + line : file + ":" + line + ":" + column;
    }
}
