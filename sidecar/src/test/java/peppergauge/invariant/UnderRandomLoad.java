package peppergauge.invariant;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Base of tests that run a package under random load, unchanged and with one planted fault at a time. */
public abstract class UnderRandomLoad {

    private final String folder;
    private final String prefix;
    private final int seedsForAFault;

    /**
     * Creates the tests of one package.
     *
     * @param folder folder of the sources under {@code peppergauge/}, with a slash at its end, or empty
     * @param prefix prefix of the class names of loads, with a dot at its end, or empty
     * @param seedsForAFault maximum number of seeds to detect a planted fault
     */
    protected UnderRandomLoad(String folder, String prefix, int seedsForAFault) {
        this.folder = folder;
        this.prefix = prefix;
        this.seedsForAFault = seedsForAFault;
    }

    /** Rows of: name, {@link Loads.Load}, number of seeds in the build. */
    @DataProvider
    public abstract Object[][] loads();

    @Test(dataProvider = "loads")
    public void holdsInvariantsUnderRandomLoad(String name, Loads.Load load, int seeds) {
        Loads.each(name, seeds, load);
    }

    /** Rows of: class name of the load, source file, sound source text, faulty source text, expected message. */
    @DataProvider
    public abstract Object[][] faults();

    @Test(dataProvider = "faults")
    public void detectsPlantedFault(String load, String file, String sound, String faulty, String expectedMessage)
            throws IOException, ReflectiveOperationException {
        new PlantedSource(folder + file, sound, faulty).mustBeFound(prefix + load, seedsForAFault, expectedMessage);
    }
}
