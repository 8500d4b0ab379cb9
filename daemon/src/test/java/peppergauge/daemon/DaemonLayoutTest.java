package peppergauge.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** The daemon stands on the sidecar and on what is added to it; neither knows of it. */
public class DaemonLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("peppergauge");

    @Test
    public void noPackageImportsInACircle() {
        slices().matching("peppergauge.daemon.(*)..").should().beFreeOfCycles().check(all);
    }

    @Test
    public void nothingElseKnowsTheDaemonOrItsLog() {
        noClasses().that().resideOutsideOfPackage("peppergauge.daemon..").should().dependOnClassesThat()
                .resideInAnyPackage("peppergauge.daemon..", "org.slf4j..").check(all);
        noClasses().that().resideOutsideOfPackage("peppergauge.daemon.lines..").should().dependOnClassesThat()
                .resideInAnyPackage("org.slf4j..", "java.util.logging..").check(all);
    }
}
