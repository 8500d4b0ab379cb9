package peppergauge;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackages;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** The layout that docs/ARCHITECTURE.md draws. */
public class PackagesTest {

    private final JavaClasses program = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void noPackageImportsInACircle() {
        slices().matching("peppergauge.(*)..").should().beFreeOfCycles().check(program);
    }

    /** Every class more is slower to start, in every sidecar: only what runs there may be asked for. */
    @Test
    public void theSidecarKnowsNeitherTheLabNorItsLibraries() {
        classes()
                .should()
                .onlyDependOnClassesThat(resideOutsideOfPackages("peppergauge.lab..", "peppergauge.operator..")
                        .and(resideInAnyPackage(
                                "java..",
                                "sun.misc",
                                "peppergauge..",
                                "org.apache.hc.core5..",
                                "com.fasterxml.jackson.core..")))
                .check(program);
    }

    @Test
    public void theDecisionsDoNoInputOutputAndHaveNoThreadsAndNoClock() {
        noClasses()
                .that()
                .resideInAPackage("peppergauge.decision")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io",
                        "java.net..",
                        "java.nio..",
                        "java.time..",
                        "java.util.concurrent..",
                        "org.apache..",
                        "com.fasterxml..")
                .check(program);
        noClasses()
                .that()
                .resideInAPackage("peppergauge.decision")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(program);
    }

    @Test
    public void theOverloadDecisionsStandAloneWithNoInputOutputNoThreadsAndNoClock() {
        classes()
                .that()
                .resideInAPackage("peppergauge.overload")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java.lang..", "java.util", "java.util.stream", "java.util.function", "peppergauge.overload")
                .check(program);
        noClasses()
                .that()
                .resideInAPackage("peppergauge.overload")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(System.class, Thread.class)
                .check(program);
    }

    @Test
    public void theStartsDecisionsStandAloneWithNoInputOutputNoThreadsAndNoClock() {
        classes()
                .that()
                .resideInAPackage("peppergauge.coldstart")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("java.lang..", "java.util", "java.util.function", "peppergauge.coldstart")
                .check(program);
        noClasses()
                .that()
                .resideInAPackage("peppergauge.coldstart")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(System.class, Thread.class)
                .check(program);
    }

    @Test
    public void theSessionsKnowNoProtocol() {
        noClasses()
                .that()
                .resideInAPackage("peppergauge.request")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.apache..", "java.net..", "peppergauge.http")
                .check(program);
    }

    @Test
    public void theEndsDoNotKnowEachOther() {
        for (String end : new String[] {"frontend", "backend", "discovery"}) {
            noClasses()
                    .that()
                    .resideInAPackage("peppergauge." + end)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(java.util.stream.Stream.of("frontend", "backend", "discovery")
                            .filter(other -> !other.equals(end))
                            .map(other -> "peppergauge." + other)
                            .toArray(String[]::new))
                    .check(program);
        }
    }
}
