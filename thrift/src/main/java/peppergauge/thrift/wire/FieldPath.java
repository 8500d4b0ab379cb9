package peppergauge.thrift.wire;

import java.util.Arrays;
import java.util.List;

/**
 * The path to a field: field ids from the struct of arguments or results to nested structs.
 *
 * @param ids at least one; all but the last identify structs
 */
public record FieldPath(List<Short> ids) {

    public FieldPath {
        ids = List.copyOf(ids);
    }

    /**
     * Parses field ids separated by dots, such as {@code 1.3}.
     *
     * @throws NumberFormatException if a part is not a 16-bit integer
     */
    public static FieldPath parse(String text) {
        return new FieldPath(
                Arrays.stream(text.split("\\.", -1)).map(Short::valueOf).toList());
    }
}
