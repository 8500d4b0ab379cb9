package peppergauge.forecast;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

public class ForecastLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("peppergauge.forecast");

    @Test
    public void noPackageImportsInACircle() {
        slices().matching("peppergauge.forecast.(*)").should().beFreeOfCycles().check(all);
    }

    @Test
    public void itDecidesOnlyWithoutInputOutputClockOrThreads() {
        classes().should().onlyDependOnClassesThat(resideInAnyPackage("java.lang..", "java.util",
                "java.util.function", "java.util.stream", "net.openhft.hashing",
                "org.apache.datasketches.frequencies",
                "org.apache.commons.statistics.distribution", "peppergauge.forecast..")).check(all);
        noClasses().should().callMethod(System.class, "currentTimeMillis").orShould()
                .callMethod(System.class, "nanoTime").orShould().dependOnClassesThat()
                .belongToAnyOf(Thread.class, java.util.Random.class).check(all);
    }
}
