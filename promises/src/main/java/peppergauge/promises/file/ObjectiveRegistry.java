package peppergauge.promises.file;

import java.util.List;
import peppergauge.operator.Problem;
import peppergauge.operator.ReadResult;
import peppergauge.promises.ServiceLevelObjective;

/** Service level objectives in force. A file with any problem changes none of them. Not thread-safe. */
public final class ObjectiveRegistry {

    private List<ServiceLevelObjective> objectives = List.of();

    /**
     * Puts the objectives of a file in force.
     *
     * @return the file's problems; empty if its objectives are in force now
     */
    public List<Problem> update(ReadResult result) {
        result.values().ifPresent(file -> objectives = ObjectiveSection.objectives(file));
        return result.problems();
    }

    /** Returns the objectives in force. */
    public List<ServiceLevelObjective> objectives() {
        return objectives;
    }
}
