package peppergauge.bodies;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** The dependencies of the packages for large bodies: no cycles, no protocol, and no use of them by the sidecar. */
public class BodiesLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void packagesHaveNoCyclicDependencies() {
        slices().matching("peppergauge.bodies.(*)..").should().beFreeOfCycles().check(all);
    }

    @Test
    public void bodiesAreIndependentOfProtocolsAndSidecarOfBodies() {
        noClasses()
                .that()
                .resideInAPackage("peppergauge.bodies..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.apache..",
                        "java.net..",
                        "peppergauge.frontend..",
                        "peppergauge.backend..",
                        "peppergauge.http..")
                .check(all);
        noClasses()
                .that()
                .resideOutsideOfPackage("peppergauge.bodies..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("peppergauge.bodies..")
                .check(all);
    }
}
