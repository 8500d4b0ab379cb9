package peppergauge.nomad;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import org.testng.annotations.Test;

/** What is believed is decided without input, output, threads or a clock; nothing of the sidecar knows Nomad. */
public class NomadLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void noPackageImportsInACircle() {
        slices().matching("peppergauge.(**)").should().beFreeOfCycles().check(all);
    }

    @Test
    public void membershipAndThePictureArePure() {
        classes()
                .that()
                .resideInAnyPackage("peppergauge.membership", "peppergauge.nomad.model")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "java.time..",
                        "peppergauge.membership",
                        "peppergauge.nomad.model",
                        "peppergauge.decision",
                        "peppergauge.request")
                .check(all);
        noClasses()
                .that()
                .resideInAnyPackage("peppergauge.membership", "peppergauge.nomad.model")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, System.class)
                .check(all);
        // Times are read from what is told; there is no clock.
        noClasses()
                .that()
                .resideInAnyPackage("peppergauge.membership", "peppergauge.nomad.model")
                .should()
                .callMethod(Instant.class, "now")
                .check(all);
    }

    @Test
    public void nothingElseKnowsNomadAndMembershipKnowsNoSource() {
        noClasses()
                .that()
                .resideOutsideOfPackage("peppergauge.nomad..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("peppergauge.nomad..")
                .check(all);
    }
}
