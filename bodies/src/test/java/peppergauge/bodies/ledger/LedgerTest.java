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

/** Admission at each limit and one byte over it, and the order in which bodies are moved and discarded. */
public class LedgerTest {

    private static final StorageLimits LIMITS = new StorageLimits(1_000, 100, 400, 500, 2_000, 100, 0.5);

    private static BodyOwner tenant(int tenant) {
        return new BodyOwner(tenant, tenant, 1);
    }

    private static void completeMoves(Ledger ledger, List<TierChange> changes) {
        changes.stream().filter(change -> change.target() == Tier.FILE).forEach(change -> ledger.onMoved(change.id()));
    }

    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {
            {0L, Admission.BUFFERED, Tier.MEMORY}, {100L, Admission.BUFFERED, Tier.MEMORY},
            {101L, Admission.BUFFERED, Tier.FILE}, {500L, Admission.BUFFERED, Tier.FILE},
            {501L, Admission.TOO_LONG, null}, {1_000L, Admission.TOO_LONG, null},
            {1_001L, Admission.TOO_LONG, null},
        };
    }

    /** With the length declared, and received in parts of 7 bytes without a declared length. */
    @Test(dataProvider = "lengths")
    public void appliesEachLimitToTheByte(long length, Admission admission, Tier tier) {
        for (boolean declared : new boolean[] {true, false}) {
            Ledger ledger = new Ledger(LIMITS);
            if (!declared && length > 1_000) {
                ledger.admit(1, tenant(0), -1, true);
                assertThrows(IllegalArgumentException.class, () -> ledger.grow(1, length));
                continue;
            }
            assertEquals(
                    ledger.admit(1, tenant(0), declared ? length : -1, true),
                    declared ? admission : Admission.BUFFERED);
            if (declared && admission != Admission.BUFFERED) {
                assertEquals(ledger.size(), 0);
                continue;
            }
            long buffered = 0;
            boolean full = false;
            for (long received = 0; received < length && !full; received += 7) {
                List<TierChange> changes = ledger.grow(1, Math.min(7, length - received));
                completeMoves(ledger, changes);
                full = changes.contains(new TierChange(1, Tier.NONE));
                buffered += full ? 0 : Math.min(7, length - received);
            }
            assertEquals(full, tier == null, "the body is full if it exceeds the limits");
            assertEquals(ledger.tier(1), tier == null ? Tier.FILE : tier);
            assertEquals(ledger.usedBytes(Tier.MEMORY) + ledger.usedBytes(Tier.FILE), tier == null ? buffered : length);
            assertEquals(buffered <= 500, true);
        }
    }

    @Test
    public void movesBodyWithLeastWeightPerByteFirst() {
        Ledger ledger = new Ledger(LIMITS);
        for (int i = 0; i < 2; i++) {
            ledger.admit(i, tenant(0), 100, true);
            assertEquals(ledger.grow(i, 100), List.of());
        }
        ledger.admit(2, new BodyOwner(1, 1, 0.1), 100, true);
        // 300 of 400 bytes is not nearly full; 400 is, and no owner is over the share of 200.
        assertEquals(ledger.grow(2, 100), List.of());
        ledger.admit(3, tenant(2), 100, true);
        assertEquals(ledger.grow(3, 100), List.of(new TierChange(2, Tier.FILE)));
        assertEquals(ledger.usedBytes(Tier.MEMORY), 400, "a moving body counts in both tiers");
        assertEquals(ledger.usedBytes(Tier.FILE), 100);
        ledger.onMoved(2);
        assertEquals(ledger.usedBytes(Tier.MEMORY), 300);
    }

    /** One tenant's bodies fill the free space, and are moved to files to leave space for others. */
    @Test
    public void leavesMemoryForOtherTenants() {
        Ledger ledger = new Ledger(LIMITS);
        for (int i = 0; i < 20; i++) {
            ledger.admit(i, tenant(0), 100, false);
            completeMoves(ledger, ledger.grow(i, 100));
        }
        assertEquals(ledger.usedBytes(Tier.MEMORY, 0) <= 350, true, "at most 350 of 400 bytes are used by one tenant");
        ledger.admit(100, tenant(1), 30, true);
        completeMoves(ledger, ledger.grow(100, 30));
        assertEquals(ledger.tier(100), Tier.MEMORY);
    }

    /** With files nearly full, a body that was sent is discarded for a new one, and bodies still to be sent are not. */
    @Test
    public void discardsOnlyBodiesBufferedForRetry() {
        Ledger ledger = new Ledger(new StorageLimits(1_000, 0, 0, 500, 2_000, 10, 1));
        for (int i = 0; i < 4; i++) {
            ledger.admit(i, tenant(0), 450, false);
            completeMoves(ledger, ledger.grow(i, 450));
        }
        assertEquals(ledger.usedBytes(Tier.FILE), 1_800);
        ledger.setNeeded(2, false);
        ledger.admit(9, tenant(1), 100, true);
        assertEquals(ledger.grow(9, 100), List.of(new TierChange(9, Tier.FILE), new TierChange(2, Tier.NONE)));
        assertEquals(ledger.tier(2), Tier.NONE);
        assertEquals(ledger.tier(1), Tier.FILE);
        assertEquals(ledger.usedBytes(Tier.FILE), 1_450);
    }

    @Test
    public void limitsNumberOfFiles() {
        Ledger ledger = new Ledger(new StorageLimits(1_000, 0, 0, 500, 2_000, 2, 1));
        for (int i = 0; i < 2; i++) {
            assertEquals(ledger.admit(i, tenant(0), 100, true), Admission.BUFFERED);
            completeMoves(ledger, ledger.grow(i, 100));
        }
        assertEquals(ledger.admit(2, tenant(0), 100, true), Admission.NO_CAPACITY);
        assertEquals(ledger.admit(2, tenant(0), 100, false), Admission.STREAMED);
        assertEquals(ledger.size(), 2, "streamed bodies are not accounted for");
        ledger.release(0);
        assertEquals(ledger.admit(2, tenant(0), 100, true), Admission.BUFFERED);
    }

    @Test
    public void failedFileAcceptsNoMoreAndCountsUntilRelease() {
        Ledger ledger = new Ledger(LIMITS);
        ledger.admit(1, tenant(0), 300, true);
        completeMoves(ledger, ledger.grow(1, 10));
        ledger.onFileFailed(1);
        assertThrows(IllegalArgumentException.class, () -> ledger.grow(1, 10));
        assertEquals(ledger.usedBytes(Tier.FILE), 10);
        ledger.release(1);
        assertEquals(ledger.usedBytes(Tier.FILE) + ledger.usedBytes(Tier.MEMORY), 0);
    }

    @Test
    public void ledgerAndLimitsUseNoThreadsClockOrFiles() {
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
