package peppergauge.lab;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** The lab depends on the sidecar and on the reader of operator files, and nothing depends on the lab. */
public class LabLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void noPackageOfTheLabImportsInACircle() {
        slices().matching("peppergauge.lab.(*)..").should().beFreeOfCycles().check(all);
    }

    @Test
    public void nothingOutsideTheLabDependsOnIt() {
        noClasses()
                .that()
                .resideOutsideOfPackage("peppergauge.lab..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("peppergauge.lab..", "picocli..")
                .check(all);
    }

    /** The stand-ins and the load serve any test; a report is made of any result. */
    @Test
    public void whatIsGeneralKnowsNoScenario() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "peppergauge.lab.wire..",
                        "peppergauge.lab.standin..",
                        "peppergauge.lab.load..",
                        "peppergauge.lab.process..",
                        "peppergauge.lab.report..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "peppergauge.lab.scenario..",
                        "peppergauge.lab.emulator..",
                        "peppergauge.lab.play..",
                        "peppergauge.lab.cost..")
                .check(all);
    }

    @Test
    public void onlyTheCommandsKnowTheCommandLineLibrary() {
        noClasses()
                .that()
                .resideInAPackage("peppergauge.lab..")
                .and()
                .resideOutsideOfPackage("peppergauge.lab.command..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("picocli..", "peppergauge.lab.command..")
                .allowEmptyShould(true)
                .check(all);
    }
}
