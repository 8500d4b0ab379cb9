package peppergauge.nomad;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import org.testng.annotations.Test;

/** Checks that membership and the service model use no I/O, threads or clock, and that only Nomad's packages use it. */
public class NomadLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void packagesAreFreeOfCycles() {
        slices().matching("peppergauge.(**)").should().beFreeOfCycles().check(all);
    }

    @Test
    public void membershipAndServiceModelUseNoInputOutputThreadsOrClock() {
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
        // Instant may parse reported times, but must not read the clock.
        noClasses()
                .that()
                .resideInAnyPackage("peppergauge.membership", "peppergauge.nomad.model")
                .should()
                .callMethod(Instant.class, "now")
                .check(all);
    }

    @Test
    public void onlyNomadPackagesDependOnNomad() {
        noClasses()
                .that()
                .resideOutsideOfPackage("peppergauge.nomad..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("peppergauge.nomad..")
                .check(all);
    }
}
