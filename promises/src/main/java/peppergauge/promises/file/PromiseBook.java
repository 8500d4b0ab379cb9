package peppergauge.promises.file;

import java.util.List;
import peppergauge.operator.Problem;
import peppergauge.operator.Reading;
import peppergauge.promises.Contract;

/** The contracts in force. A file that is wrong in any place changes none of them. */
public final class PromiseBook {

    private List<Contract> contracts = List.of();

    /** @return what is wrong with the file; empty if its contracts are in force now */
    public List<Problem> take(Reading reading) {
        reading.values().ifPresent(file -> contracts = PromiseSection.contracts(file));
        return reading.problems();
    }

    public List<Contract> contracts() {
        return contracts;
    }
}
