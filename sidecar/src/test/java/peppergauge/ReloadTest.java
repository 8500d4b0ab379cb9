package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import org.testng.annotations.Test;

/** Reload by SIGHUP in a real process, which an unhandled SIGHUP would end. */
public class ReloadTest {

    @Test
    public void watchesTheNewDiscoveryAfterSighupAndIgnoresAnInvalidFile() throws Exception {
        try (SidecarProcessFixture fixture = new SidecarProcessFixture(
                        (request, connection) -> ScriptedServer.write(connection, ScriptedServer.okResponse("body")),
                        256,
                        1);
                ScriptedServer other = ScriptedServer.respondingWith(ScriptedServer.okResponse("other"));
                ScriptedServer second = SidecarProcessFixture.discoveryServer()) {
            ScriptedServer first = fixture.discovery;
            ScriptedServer.await(() -> !first.requests.isEmpty());
            fixture.configure(second, 256, 1);
            fixture.signal("HUP");
            ScriptedServer.await(() -> second.requests.size() == 1);
            // A watch that is silent for longer is called again; from the move on only the new discovery is called.
            int callsBeforeTheMove = first.requests.size();
            assertEquals(second.requests.get(0).line(), "GET /discovery/hosts?watch=1&from=0 HTTP/1.1");
            // The endpoint list stays until the new discovery sends one; the end of the old watch does not reopen it.
            assertEquals(responseBody(fixture, "t1"), "body");
            for (Socket watch : first.connections) {
                watch.close();
            }
            Files.writeString(fixture.config, "{ not a configuration");
            fixture.signal("HUP");
            Thread.sleep(400);
            assertEquals(first.requests.size(), callsBeforeTheMove);
            assertEquals(second.requests.size(), 1);
            writeChunk(
                    second.connections.get(0),
                    SidecarFixture.endpointUpdate(other.address(), 2, true, "active") + "\n");
            Thread.sleep(100);
            assertEquals(responseBody(fixture, "t2"), "other");
            assertTrue(fixture.sidecar.isAlive());
        }
    }

    /** With nohup the signal is never delivered, and the old discovery would be used forever. */
    @Test
    public void pollsTheFileIfSighupIsIgnoredAtTheStart() throws Exception {
        try (SidecarProcessFixture fixture = new SidecarProcessFixture(SidecarFixture.ECHO, 256, 1, "trap '' HUP; ");
                ScriptedServer second = SidecarProcessFixture.discoveryServer();
                ScriptedServer third = SidecarProcessFixture.discoveryServer()) {
            for (ScriptedServer moved : new ScriptedServer[] {second, third}) {
                fixture.configure(moved, 256, 1);
                fixture.signal("HUP");
                ScriptedServer.await(() -> moved.requests.size() == 1);
            }
            assertEquals(responseBody(fixture, "t1"), "t1");
        }
    }

    private static void writeChunk(Socket connection, String text) throws Exception {
        ScriptedServer.write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static String responseBody(SidecarProcessFixture fixture, String id) throws Exception {
        try (Socket client = fixture.client()) {
            return new String(
                    SidecarFixture.exchange(client, SidecarFixture.get(id, 900)).body());
        }
    }
}
