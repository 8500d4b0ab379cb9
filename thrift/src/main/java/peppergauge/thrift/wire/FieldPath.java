package peppergauge.thrift.wire;

import java.util.Arrays;
import java.util.List;

/**
 * Where a value stands: field ids from the struct of arguments, or of results, inwards.
 *
 * @param ids one or more; all but the last are of structs
 */
public record FieldPath(List<Short> ids) {

    public FieldPath {
        ids = List.copyOf(ids);
    }

    /** @throws NumberFormatException if it is not field ids with dots between them, {@code 1.3} */
    public static FieldPath parse(String text) {
        return new FieldPath(
                Arrays.stream(text.split("\\.", -1)).map(Short::valueOf).toList());
    }
}
