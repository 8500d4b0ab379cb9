package peppergauge.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.Additions;
import peppergauge.daemon.part.Combined;
import peppergauge.session.Frontend;
import peppergauge.session.Intake;
import peppergauge.session.Opening;
import peppergauge.session.Sessions;

public class CombinedTest {

    private final List<String> told = new ArrayList<>();

    private Additions before(String name) {
        return new Additions.Before() {
            @Override
            public Intake intake(Intake next, Parts parts) {
                return noting(name, next);
            }

            @Override
            public void stopping() {
                told.add("stop " + name);
                throw new IllegalStateException("on purpose");
            }
        };
    }

    private Additions sessionsOnly(String name) {
        return new Additions() {
            @Override
            public Intake intake(Sessions sessions, Parts parts) {
                return noting(name, new Intake() {
                    @Override
                    public void open(Opening opening, Frontend frontend) {
                        told.add("sessions");
                    }

                    @Override
                    public void left(String id, Frontend frontend) {}
                });
            }

            @Override
            public boolean watchesDiscovery() {
                return false;
            }
        };
    }

    private Intake noting(String name, Intake next) {
        return new Intake() {
            @Override
            public void open(Opening opening, Frontend frontend) {
                told.add(name);
                next.open(opening, frontend);
            }

            @Override
            public void left(String id, Frontend frontend) {}
        };
    }

    @Test
    public void aSessionGoesThroughTheFirstFirstAndOneThatFailsKeepsNoOtherFromEnding() {
        Combined all = new Combined(List.of(before("a"), sessionsOnly("s"), before("b")));
        all.intake((Sessions) null, null).open(null, null);
        all.stopping();
        assertEquals(told, List.of("a", "b", "s", "sessions", "stop a", "stop b"));
        assertEquals(all.watchesDiscovery(), false);
        assertThrows(
                IllegalStateException.class,
                () -> new Combined(List.of(sessionsOnly("s"), sessionsOnly("t"))).intake((Sessions) null, null));
    }
}
