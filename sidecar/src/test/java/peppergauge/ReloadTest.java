package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import org.testng.annotations.Test;

/** A real process and real signals: unhandled, SIGHUP ends the program. */
public class ReloadTest {

    @Test
    public void onHangUpDiscoveryIsWatchedWhereTheFileSaysNowAndAnUnusableFileChangesNothing() throws Exception {
        try (SidecarProcessFixture bed = new SidecarProcessFixture((request, connection) -> ScriptedServer.write(connection, ScriptedServer.okResponse("body")), 256, 1);
                ScriptedServer other = ScriptedServer.respondingWith(ScriptedServer.okResponse("other"));
                ScriptedServer second = SidecarProcessFixture.discoveryServer()) {
            ScriptedServer first = bed.discovery;
            ScriptedServer.await(() -> first.requests.size() == 1);
            bed.configure(second, 256, 1);
            bed.signal("HUP");
            ScriptedServer.await(() -> second.requests.size() == 1);
            assertEquals(second.requests.get(0).line(), "GET /discovery/hosts?watch=1&from=0 HTTP/1.1");
            // Until the new one tells, the table stays; the old one's end must not bring it back.
            assertEquals(ask(bed, "t1"), "body");
            first.connections.get(0).close();
            Files.writeString(bed.config, "{ not a configuration");
            bed.signal("HUP");
            Thread.sleep(400);
            assertEquals(first.requests.size(), 1);
            assertEquals(second.requests.size(), 1);
            chunk(second.connections.get(0), SidecarFixture.endpointUpdate(other.address(), 2, true, "active") + "\n");
            Thread.sleep(100);
            assertEquals(ask(bed, "t2"), "other");
            assertTrue(bed.sidecar.isAlive());
        }
    }

    /** Started by nohup it never comes, and the old discovery would be asked for good. */
    @Test
    public void withHangUpIgnoredAtTheStartTheFileIsLookedAtInstead() throws Exception {
        try (SidecarProcessFixture bed = new SidecarProcessFixture(SidecarFixture.ECHO, 256, 1, "trap '' HUP; ");
                ScriptedServer second = SidecarProcessFixture.discoveryServer();
                ScriptedServer third = SidecarProcessFixture.discoveryServer()) {
            for (ScriptedServer moved : new ScriptedServer[] {second, third}) {
                bed.configure(moved, 256, 1);
                bed.signal("HUP");
                ScriptedServer.await(() -> moved.requests.size() == 1);
            }
            assertEquals(ask(bed, "t1"), "t1");
        }
    }

    private static void chunk(Socket connection, String text) throws Exception {
        ScriptedServer.write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static String ask(SidecarProcessFixture bed, String id) throws Exception {
        try (Socket client = bed.client()) {
            return new String(SidecarFixture.exchange(client, SidecarFixture.get(id, 900)).body());
        }
    }
}
