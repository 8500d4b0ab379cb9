package peppergauge.memory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import peppergauge.memory.MessageMemory.Purpose;
import peppergauge.memory.MessageMemory.Reservation;

public class MessageMemoryTest {

    private static final long LIMIT_BYTES = 1_000;

    private final MessageMemory memory = new MessageMemory(LIMIT_BYTES);

    @Test
    public void leavesAShareOfTheLimitToEachLaterPurpose() {
        MessageMemory shared = new MessageMemory(LIMIT_BYTES);
        Reservation held = shared.newReservation();
        long left = LIMIT_BYTES;
        for (Purpose purpose : Purpose.values()) {
            while (held.tryGrow(purpose, 1)) {
                left--;
            }
            assertFalse(held.tryGrow(purpose, 1), purpose + " with " + left + " bytes left");
        }
        assertEquals(left, 0);
        assertTrue(Purpose.PIPELINED_BODY.compareTo(Purpose.LARGE_BODY) < 0);
    }

    @Test
    public void reservesAwaitedMemoryInOrderAndOnlyWhenThereIsEnough() {
        List<String> reserved = new ArrayList<>();
        MessageMemory awaited = new MessageMemory(LIMIT_BYTES);
        Reservation first = awaited.newReservation();
        Reservation large = awaited.newReservation();
        Reservation small = awaited.newReservation();
        first.grow(LIMIT_BYTES);
        assertFalse(large.growOrAwait(600, () -> reserved.add("large")));
        assertFalse(small.growOrAwait(100, () -> reserved.add("small")));
        first.shrinkTo(500);
        assertEquals(reserved, List.of(), "the small one does not overtake");
        first.shrinkTo(400);
        assertEquals(reserved, List.of("large"));
        first.release();
        assertEquals(reserved, List.of("large", "small"));
        assertEquals(awaited.heldBytes(), 700);
    }

    @Test
    public void releasedReservationAwaitsNothing() {
        Reservation held = memory.newReservation();
        Reservation waiting = memory.newReservation();
        held.grow(LIMIT_BYTES);
        assertFalse(waiting.growOrAwait(10, () -> {
            throw new AssertionError("reserved after the release");
        }));
        waiting.release();
        held.release();
        held.release();
        assertEquals(memory.heldBytes(), 0);
    }

    /** Whatever the order of calls, the held bytes are the sum of the reservations, and all are released. */
    @Test
    public void countsWhatIsReservedInAnyOrderOfCalls() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            MessageMemory any = new MessageMemory(LIMIT_BYTES);
            List<Reservation> all = new ArrayList<>();
            for (int step = 0; step < 300; step++) {
                Reservation reservation = any.newReservation();
                switch (random.nextInt(4)) {
                    case 0 -> reservation.tryGrow(Purpose.REQUEST, random.nextInt(300));
                    case 1 -> reservation.growOrAwait(random.nextInt(300), () -> {});
                    case 2 -> all.forEach(each -> each.shrinkTo(random.nextInt(100)));
                    default -> {
                        if (!all.isEmpty()) {
                            all.remove(random.nextInt(all.size())).release();
                        }
                    }
                }
                all.add(reservation);
                assertTrue(any.heldBytes() <= LIMIT_BYTES, "seed " + seed + " holds " + any.heldBytes());
            }
            all.forEach(Reservation::release);
            assertEquals(any.heldBytes(), 0, "seed " + seed);
        }
    }
}
