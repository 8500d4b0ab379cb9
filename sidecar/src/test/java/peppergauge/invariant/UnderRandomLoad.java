package peppergauge.invariant;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Random loads over the program as it is, and with one fault at a time planted in its sources. */
public abstract class UnderRandomLoad {

    private final String folder;
    private final String prefix;
    private final int seedsForAFault;

    /**
     * For the tables of one package.
     *
     * @param folder of the sources, under {@code peppergauge/}, with a slash at its end or empty
     * @param prefix of the loads' names, with a dot at its end or empty
     */
    protected UnderRandomLoad(String folder, String prefix, int seedsForAFault) {
        this.folder = folder;
        this.prefix = prefix;
        this.seedsForAFault = seedsForAFault;
    }

    /** Rows of name, {@link Loads.Load}, seeds in the build. */
    @DataProvider
    public abstract Object[][] loads();

    @Test(dataProvider = "loads")
    public void allHoldsWhateverHappens(String name, Loads.Load load, int seeds) {
        Loads.each(name, seeds, load);
    }

    /** Rows of load, source, what stands there once, what stands there in its place, what is to be said of it. */
    @DataProvider
    public abstract Object[][] faults();

    @Test(dataProvider = "faults")
    public void aPlantedFaultIsFound(String load, String file, String sound, String faulty, String says)
            throws IOException, ReflectiveOperationException {
        new PlantedSource(folder + file, sound, faulty).mustBeFound(prefix + load, seedsForAFault, says);
    }
}
