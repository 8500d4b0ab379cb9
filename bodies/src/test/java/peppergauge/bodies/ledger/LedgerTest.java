package peppergauge.bodies.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Bodies at each bound and one over, what is pushed out first, and what may be sent again. */
public class LedgerTest {

    private static final Bounds BOUNDS = new Bounds(1_000, 100, 400, 500, 2_000, 100, 0.5);

    private static Owner tenant(int tenant) {
        return new Owner(tenant, tenant, 1);
    }

    private static void moveAll(Ledger ledger, List<Move> moves) {
        moves.stream().filter(move -> move.to() == Tier.FILE).forEach(move -> ledger.moved(move.id()));
    }

    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {
            {0L, Letting.IN, Tier.MEMORY}, {100L, Letting.IN, Tier.MEMORY}, {101L, Letting.IN, Tier.FILE},
            {500L, Letting.IN, Tier.FILE}, {501L, Letting.TOO_LONG, null}, {1_000L, Letting.TOO_LONG, null},
            {1_001L, Letting.TOO_LONG, null},
        };
    }

    /** By its declared length, and by what comes in pieces of 7 where none is declared. */
    @Test(dataProvider = "lengths")
    public void eachBoundHoldsToTheByte(long length, Letting letting, Tier tier) {
        for (boolean declared : new boolean[] {true, false}) {
            Ledger ledger = new Ledger(BOUNDS);
            if (!declared && length > 1_000) {
                ledger.open(1, tenant(0), -1, true);
                assertThrows(IllegalArgumentException.class, () -> ledger.grow(1, length));
                continue;
            }
            assertEquals(ledger.open(1, tenant(0), declared ? length : -1, true), declared ? letting : Letting.IN);
            if (declared && letting != Letting.IN) {
                assertEquals(ledger.size(), 0);
                continue;
            }
            long kept = 0;
            boolean full = false;
            for (long came = 0; came < length && !full; came += 7) {
                List<Move> moves = ledger.grow(1, Math.min(7, length - came));
                moveAll(ledger, moves);
                full = moves.contains(new Move(1, Tier.NONE));
                kept += full ? 0 : Math.min(7, length - came);
            }
            assertEquals(full, tier == null, "no more is kept than fits, and what is kept stays");
            assertEquals(ledger.tier(1), tier == null ? Tier.FILE : tier);
            assertEquals(ledger.used(Tier.MEMORY) + ledger.used(Tier.FILE), tier == null ? kept : length);
            assertEquals(kept <= 500, true);
        }
    }

    @Test
    public void whoIsOverTheShareGoesFirstAndThenWhatIsWorthLeastForItsLength() {
        Ledger ledger = new Ledger(BOUNDS);
        for (int i = 0; i < 2; i++) {
            ledger.open(i, tenant(0), 100, true);
            assertEquals(ledger.grow(i, 100), List.of());
        }
        ledger.open(2, new Owner(1, 1, 0.1), 100, true);
        // 300 of 400 is not yet high; 400 is, and nobody is over the share of 200.
        assertEquals(ledger.grow(2, 100), List.of());
        ledger.open(3, tenant(2), 100, true);
        assertEquals(ledger.grow(3, 100), List.of(new Move(2, Tier.FILE)));
        assertEquals(ledger.used(Tier.MEMORY), 400, "until it is written it counts in both");
        assertEquals(ledger.used(Tier.FILE), 100);
        ledger.moved(2);
        assertEquals(ledger.used(Tier.MEMORY), 300);
    }

    /** One station's recordings fill what is free, and then make way for others' saves. */
    @Test
    public void oneTenantCannotPushOutTheOthers() {
        Ledger ledger = new Ledger(BOUNDS);
        for (int i = 0; i < 20; i++) {
            ledger.open(i, tenant(0), 100, false);
            moveAll(ledger, ledger.grow(i, 100));
        }
        assertEquals(ledger.usedBy(Tier.MEMORY, 0) <= 350, true, "of 400");
        ledger.open(100, tenant(1), 30, true);
        moveAll(ledger, ledger.grow(100, 30));
        assertEquals(ledger.tier(100), Tier.MEMORY);
    }

    /** Files are full of one station's bodies: what was sent once goes for another's, what was not stays. */
    @Test
    public void onlyWhatIsKeptForARetryAloneIsPushedOut() {
        Ledger ledger = new Ledger(new Bounds(1_000, 0, 0, 500, 2_000, 10, 1));
        for (int i = 0; i < 4; i++) {
            ledger.open(i, tenant(0), 450, false);
            moveAll(ledger, ledger.grow(i, 450));
        }
        assertEquals(ledger.used(Tier.FILE), 1_800);
        ledger.needed(2, false);
        ledger.open(9, tenant(1), 100, true);
        assertEquals(ledger.grow(9, 100), List.of(new Move(9, Tier.FILE), new Move(2, Tier.NONE)));
        assertEquals(ledger.tier(2), Tier.NONE);
        assertEquals(ledger.tier(1), Tier.FILE);
        assertEquals(ledger.used(Tier.FILE), 1_450);
    }

    @Test
    public void noMoreFilesThanDescriptorsAreHad() {
        Ledger ledger = new Ledger(new Bounds(1_000, 0, 0, 500, 2_000, 2, 1));
        for (int i = 0; i < 2; i++) {
            assertEquals(ledger.open(i, tenant(0), 100, true), Letting.IN);
            moveAll(ledger, ledger.grow(i, 100));
        }
        assertEquals(ledger.open(2, tenant(0), 100, true), Letting.NO_ROOM);
        assertEquals(ledger.open(2, tenant(0), 100, false), Letting.UNKEPT);
        assertEquals(ledger.size(), 2, "nothing is known of one that is not kept");
        ledger.release(0);
        assertEquals(ledger.open(2, tenant(0), 100, true), Letting.IN);
    }

    @Test
    public void aFileThatFailsTakesNoMoreAndCountsUntilItsBodyIsOver() {
        Ledger ledger = new Ledger(BOUNDS);
        ledger.open(1, tenant(0), 300, true);
        moveAll(ledger, ledger.grow(1, 10));
        ledger.failed(1);
        assertThrows(IllegalArgumentException.class, () -> ledger.grow(1, 10));
        assertEquals(ledger.used(Tier.FILE), 10);
        ledger.release(1);
        assertEquals(ledger.used(Tier.FILE) + ledger.used(Tier.MEMORY), 0);
    }

    @Test
    public void itDecidesAndDoesNothingElse() {
        JavaClasses all = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("peppergauge.bodies.ledger", "peppergauge.bodies.limits");
        ArchRuleDefinition.classes()
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "peppergauge.bodies.ledger",
                        "peppergauge.bodies.limits")
                .check(all);
        ArchRuleDefinition.noClasses()
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, System.class)
                .check(all);
    }
}
