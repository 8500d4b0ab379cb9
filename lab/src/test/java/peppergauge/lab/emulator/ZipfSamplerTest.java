package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;

import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ZipfSamplerTest {

    private static final int DRAWS = 200_000;

    @DataProvider
    public Object[][] exponents() {
        return new Object[][] {{0.0}, {0.3}, {0.8}, {0.99}, {1.0}, {1 + 1e-12}, {1.1}, {2.5}};
    }

    /** Digests recorded with the sampler of Commons RNG stay valid. */
    @Test(dataProvider = "exponents")
    public void drawsSameNumbersAsCommonsRng(double exponent) {
        for (int numbers : new int[] {1, 2, 500, 2_000_000}) {
            DiscreteSampler sampler = ZipfSampler.of(new RandomStreams(numbers).of("zipf"), numbers, exponent);
            DiscreteSampler reference =
                    RejectionInversionZipfSampler.of(new RandomStreams(numbers).of("zipf"), numbers, exponent);
            for (int i = 0; i < DRAWS; i++) {
                assertEquals(sampler.sample(), reference.sample(), "draw " + i + " of " + numbers);
            }
        }
    }
}
