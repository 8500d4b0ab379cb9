package peppergauge.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SimulatorAdapterTest {

    private static final String CREATE = "{\"op\":\"Create\",\"salt\":5,\"params\":{\"tickMs\":1.0,\"unheardOf\":[1],"
            + "\"profiles\":[{\"aimMs\":300.0,\"deadlineMs\":800.0,\"effect\":\"idempotent\"}],"
            + "\"limits\":{\"mostTries\":3},\"rules\":{}}}";
    private static final String LIST = "{\"op\":\"List\",\"rosterId\":3,\"elements\":[{\"host\":\"h\",\"mode\":\"on\","
            + "\"new\":{}}]},{\"op\":\"RosterChange\",\"form\":\"stale_copy\",\"rosterId\":3}";
    private static final String REQUEST = "{\"timeBudgetMs\":500,\"id\":\"00000000000000aa\",\"op\":\"NewRequest\"}";

    private static String run(String... lines) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String input = String.join("\n", lines) + "\n";
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String batch(int number, String events) {
        return "{\"timeMs\":" + (1000 + number) + ",\"batch\":" + number + ",\"proxys\":[{\"who\":\"proxy-1\",\"in\":["
                + events + "]}]}";
    }

    private static String errorMessage(String... lines) {
        return assertThrows(MalformedLineException.class, () -> run(lines)).getMessage();
    }

    @Test
    void answersEmptyBatchWithEmptyBatch() throws Exception {
        assertEquals("{\"batch\":1,\"proxys\":[]}\n", run("{\"timeMs\":8412.25,\"batch\":1,\"proxys\":[]}"));
    }

    @Test
    void sendsRequestWhateverKeyOrderAndUnknownKeys() throws Exception {
        String reply = run(batch(1, CREATE + "," + LIST + "," + REQUEST));
        assertTrue(reply.contains("\"op\":\"Dispatch\",\"id\":\"00000000000000aa\",\"host\":\"h\""), reply);
    }

    @Test
    void ignoresRequestForStoppedInstance() throws Exception {
        String reply = run(batch(1, CREATE + "," + LIST), batch(2, "{\"op\":\"Retire\"}"), batch(3, REQUEST));
        assertEquals(
                "{\"batch\":3,\"proxys\":[]}", reply.lines().skip(2).findFirst().orElseThrow());
    }

    @Test
    void malformedLineIsNamedWithItsCause() {
        assertTrue(errorMessage("{\"timeMs\":1,").startsWith("line 1, column "));
        assertTrue(errorMessage("{\"timeMs\":1,\"batch\":1,\"proxys\":[]}", "nonsense")
                .startsWith("line 2, column "));
        assertTrue(errorMessage("{\"batch\":1,\"proxys\":[]}").contains("timeMs"));
        assertTrue(errorMessage("[]").contains("batch must be an object but is START_ARRAY"));
        assertTrue(errorMessage(batch(1, "{\"op\":\"Outcome\",\"id\":\"a\",\"host\":\"h\",\"rc\":\"odd\"}"))
                .contains("odd"));
        assertTrue(errorMessage(batch(1, "{\"id\":\"a\"}")).contains("op"));
    }

    @Test
    void invalidSettingIsNamedWithItsLine() {
        String message = errorMessage(batch(1, CREATE.replace("\"aimMs\":300.0", "\"aimMs\":-1")));
        assertTrue(message.contains("line 1") && message.contains("aimMs"), message);
    }

    @Test
    void reportsExceptionOfLoadBalancerAsFatal() throws Exception {
        String badClass = REQUEST.replace("\"op\"", "\"priority\":77,\"op\"");
        String reply = run(batch(1, CREATE + "," + LIST + "," + badClass));
        assertTrue(reply.contains("\"op\":\"Fatal\""), reply);
    }

    @Test
    void reusedListIndexRefersToNewerList() throws Exception {
        String reply = run(batch(
                1,
                CREATE + "," + LIST + "," + LIST.replace("\"h\"", "\"g\"").replace("stale_copy", "whole") + ","
                        + REQUEST));
        assertTrue(reply.contains("\"host\":\"g\""), reply);
    }
}
