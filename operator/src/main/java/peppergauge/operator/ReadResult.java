package peppergauge.operator;

import java.util.List;
import java.util.Optional;

/**
 * What became of a file.
 *
 * @param kind empty if the file does not say, or an unknown one
 * @param values present exactly if there are no problems
 * @param problems in the order of the file
 */
public record ReadResult(Optional<FileKind> kind, Optional<Values> values, List<Problem> problems) {

    static ReadResult of(Optional<FileKind> kind, Optional<Values> values, Problems problems) {
        return new ReadResult(kind, problems.isEmpty() ? values : Optional.empty(), problems.sorted());
    }
}
