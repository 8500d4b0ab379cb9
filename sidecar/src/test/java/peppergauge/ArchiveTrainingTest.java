package peppergauge;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ArchiveTrainingTest {

    private static final String START =
            "2026-12-02T00:27:11.413Z sidecar_started name=a address=127.0.0.1:4711 known_servers=1 warm_up_requests=9\n";
    private static final String IGNORED =
            "2026-12-02T00:27:11.413Z reload_signal_ignored polled_file=/tmp/training.json\n";

    @DataProvider
    Object[][] logs() {
        return new Object[][] {{START}, {IGNORED + START}, {"\n" + IGNORED + START}};
    }

    /** With nohup the build failed, because the port was expected in the first line of the log. */
    @Test(dataProvider = "logs")
    public void findsThePortAmongOtherLines(String log) throws IOException {
        Assert.assertEquals(ArchiveTraining.port(new BufferedReader(new StringReader(log))), 4711);
    }

    @Test(expectedExceptions = IOException.class)
    public void failsIfTheSidecarNeverListens() throws IOException {
        ArchiveTraining.port(new BufferedReader(new StringReader(IGNORED)));
    }
}
