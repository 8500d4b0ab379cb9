package peppergauge.promises;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** Promises decide: they read no clock, wait for nothing, and open nothing. */
public class PromisesLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("peppergauge.promises");

    @Test
    public void noPackageImportsInACircle() {
        slices().matching("peppergauge.promises.(*)..").should().beFreeOfCycles().check(all);
    }

    @Test
    public void theyDecideWithoutInputClockOrThreads() {
        noClasses().should().dependOnClassesThat().resideInAnyPackage("java.io..", "java.nio..", "java.net..",
                "java.util.concurrent..").check(all);
        noClasses().should().callMethod(System.class, "currentTimeMillis").orShould()
                .callMethod(System.class, "nanoTime").check(all);
    }
}
