package peppergauge.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigTest {

    private static final String FILE = "{\"name\":\"n\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\","
            + "\"seed\":\"f\",\"limits\":{\"sockets\":99},\"known\":{},\"settings\":{}}";

    private static Config read(String file, String variable, String value) throws IOException {
        Path path = Files.createTempFile("config", ".json");
        try {
            Map<String, String> environment = new HashMap<>(
                    Map.of("GW_CONFIG", Files.writeString(path, file).toString()));
            environment.put(variable, value);
            return Config.read(environment);
        } finally {
            Files.delete(path);
        }
    }

    @Test
    public void variablesTakePrecedenceOverFile() throws IOException {
        Config config = read(FILE, "GW_LISTEN", "127.0.0.1:7");
        assertEquals(config.listen().getPort(), 7);
        assertEquals(config.discovery().getPort(), 2);
        assertEquals(config.seed(), 15);
        assertEquals(config.maxSockets(), 99);
    }

    @DataProvider
    public Object[][] files() {
        String other = FILE.replace(":2\"", ":4\"");
        return new Object[][] {
            {"replaced before it is read at the start", other, other, 4},
            {"replaced while the sidecar runs", FILE, other, 4},
            {"without discovery", FILE, FILE.replace("\"discovery\":\"127.0.0.1:2\",", ""), 3},
        };
    }

    /**
     * GW_DISCOVERY is always 127.0.0.1:3. If the file was replaced between the start of the process and its first read,
     * it does not change until SIGHUP. Discovery then stayed at the obsolete address of GW_DISCOVERY
     * ("discovery_unchanged address=127.0.0.1:3").
     */
    @Test(dataProvider = "files")
    public void fileTakesPrecedenceOverVariableAtReload(
            String which, String fileAtStart, String fileAtReload, int expectedPort) throws IOException {
        Path path = Files.createTempFile("config", ".json");
        try {
            Map<String, String> environment = Map.of("GW_CONFIG", path.toString(), "GW_DISCOVERY", "127.0.0.1:3");
            Files.writeString(path, fileAtStart);
            assertEquals(Config.read(environment).discovery().getPort(), 3);
            Files.writeString(path, fileAtReload);
            assertEquals(Config.reload(environment).discovery().getPort(), expectedPort, which);
        } finally {
            Files.delete(path);
        }
    }

    /** The first values of {@link Random} hardly differ for seeds that differ in their last bits only. */
    @Test
    public void instanceSeedsGiveDifferentRandomValues() throws IOException {
        double[] values = new double[100];
        for (int i = 0; i < values.length; i++) {
            values[i] = new Random(read(FILE, "GW_NAME", "n" + i).instanceSeed()).nextDouble();
        }
        for (int tenth = 0; tenth < 10; tenth++) {
            double from = tenth / 10.0;
            long within = Arrays.stream(values)
                    .filter(value -> value >= from && value < from + 0.1)
                    .count();
            assertTrue(
                    within >= 2 && within <= 25,
                    "expected 2 to 25 of 100 values in the tenth from " + from + ", was " + within);
        }
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {FILE, "GW_LISTEN", "nowhere", "GW_LISTEN is not host:port"},
            {FILE, "GW_LISTEN", "h:70000", "GW_LISTEN is not host:port"},
            {FILE, "GW_DISCOVERY", ":1", "GW_DISCOVERY is not host:port"},
            {FILE.replace("127.0.0.1:2", "nowhere"), "X", "", ".json is not host:port: nowhere"},
            {FILE, "GW_CONFIG", "/no/such", "cannot be read"},
            {FILE, "GW_CONFIG", "", "GW_CONFIG is not set"},
            {FILE.replace("\"name\":\"n\",", ""), "X", "", "neither GW_NAME"},
            {FILE.replace("\"f\"", "\"xyz\""), "X", "", "not hexadecimal"},
            {FILE.replace("99", "1"), "X", "", "limits.sockets"},
            {FILE.replace("\"settings\":{}", "\"settings\":[]"), "X", "", "'settings' is not an object"},
            {"{", "X", "", "not valid JSON"},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void rejectsInvalidValueWithReason(String file, String variable, String value, String reason) {
        String message = expectThrows(IllegalArgumentException.class, () -> read(file, variable, value))
                .getMessage();
        assertTrue(message.contains(reason), message);
    }
}
