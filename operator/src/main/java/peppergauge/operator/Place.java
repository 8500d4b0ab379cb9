package peppergauge.operator;

/**
 * Where in a file something stands.
 *
 * @param file as the caller named it
 * @param line from 1; 0 if the file as a whole is meant
 * @param column from 1; 0 if the line as a whole is meant
 */
public record Place(String file, int line, int column) {

    @Override
    public String toString() {
        return line == 0 ? file : column == 0 ? file + ":" + line : file + ":" + line + ":" + column;
    }
}
