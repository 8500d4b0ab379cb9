package peppergauge.sockets;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class ConnectionPhaseTest {

    @Test
    public void phasesAreOrdered() {
        ConnectionPhase[] phases = ConnectionPhase.values();
        for (int i = 0; i < phases.length; i++) {
            assertTrue(phases[i].isAtLeast(phases[i]));
            for (int later = i + 1; later < phases.length; later++) {
                assertTrue(phases[later].isAtLeast(phases[i]));
                assertFalse(phases[i].isAtLeast(phases[later]));
            }
        }
        assertFalse(ConnectionPhase.RESPONDING.isAtLeast(ConnectionPhase.LINGERING));
    }
}
