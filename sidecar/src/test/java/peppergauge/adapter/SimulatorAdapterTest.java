package peppergauge.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

    private static final String RETIRE = "{\"op\":\"Retire\"}";
    private static final String REQUEST_OF_NO_CLASS = REQUEST.replace("\"op\"", "\"priority\":77,\"op\"");

    private static String lastReply(String... lines) throws Exception {
        return run(lines).lines().reduce((earlier, later) -> later).orElseThrow();
    }

    /** A killed instance's request was sent by the instance created for it in the same batch (review/3). */
    @Test
    void withdrawsActionsOfKilledInstanceWithSuccessorInTheSameBatch() throws Exception {
        String reply =
                lastReply(batch(1, CREATE + "," + LIST), batch(2, REQUEST + "," + RETIRE + "," + CREATE + "," + LIST));
        assertFalse(reply.contains("00000000000000aa"), reply);
        assertEquals(
                lastReply(batch(1, CREATE + "," + LIST)).replace("\"batch\":1", "\"batch\":2"),
                reply.replaceAll("\"momentMs\":1002", "\"momentMs\":1001"),
                "a successor acts as an instance without a predecessor does");
    }

    @Test
    void withdrawsActionsOfKilledInstanceWithoutSuccessor() throws Exception {
        String reply = lastReply(batch(1, CREATE + "," + LIST), batch(2, REQUEST + "," + RETIRE));
        assertEquals("{\"batch\":2,\"proxys\":[]}", reply);
    }

    /** Each instance of a batch is killed, and only the requests that came after the last start are sent. */
    @Test
    void sendsRequestsOfTheLastOfSeveralSuccessors() throws Exception {
        String later = REQUEST.replace("aa\"", "bb\"");
        String last = REQUEST.replace("aa\"", "cc\"");
        String started = CREATE + "," + LIST + ",";
        String reply = lastReply(batch(
                1, started + REQUEST + "," + RETIRE + "," + started + later + "," + RETIRE + "," + started + last));
        assertFalse(reply.contains("00000000000000aa") || reply.contains("00000000000000bb"), reply);
        assertTrue(reply.contains("\"op\":\"Dispatch\",\"id\":\"00000000000000cc\""), reply);
    }

    /** An exception of an instance that is killed in the same batch hid its end and its successor's start. */
    @Test
    void startsSuccessorOfFailedInstanceInTheSameBatch() throws Exception {
        String reply = lastReply(
                batch(1, CREATE + "," + LIST),
                batch(2, REQUEST_OF_NO_CLASS + "," + RETIRE + "," + CREATE + "," + LIST + "," + REQUEST));
        assertFalse(reply.contains("Fatal"), reply);
        assertTrue(reply.contains("\"op\":\"Dispatch\",\"id\":\"00000000000000aa\""), reply);
    }

    /** The events of one instance may stand in several groups of a batch. */
    @Test
    void withdrawsActionsOfEarlierGroupOfKilledInstance() throws Exception {
        String two = batch(2, REQUEST + "\n" + RETIRE).replace("\n", "]},{\"who\":\"proxy-1\",\"in\":[");
        assertEquals("{\"batch\":2,\"proxys\":[]}", lastReply(batch(1, CREATE + "," + LIST), two));
    }
}
