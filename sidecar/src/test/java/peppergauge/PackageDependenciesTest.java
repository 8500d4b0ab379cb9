package peppergauge;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackages;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.testng.Assert.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.function.DoubleUnaryOperator;
import org.testng.annotations.Test;

/** The package dependencies that docs/ARCHITECTURE.md describes. */
public class PackageDependenciesTest {

    private final JavaClasses program = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void packagesHaveNoCycles() {
        slices().matching("peppergauge.(*)..").should().beFreeOfCycles().check(program);
    }

    /** Each additional class slows down the start of every sidecar, so only necessary dependencies are allowed. */
    @Test
    public void sidecarDependsNeitherOnTheLabNorOnItsLibraries() {
        classes()
                .should()
                .onlyDependOnClassesThat(resideOutsideOfPackages("peppergauge.lab..", "peppergauge.operator..")
                        .and(resideInAnyPackage(
                                "java..",
                                // The types of HttpCore's interface of a session.
                                "javax.net.ssl",
                                "sun.misc",
                                "peppergauge..",
                                "org.apache.hc.core5..",
                                "com.fasterxml.jackson.core..")))
                .check(program);
    }

    @Test
    public void decisionPackageUsesNoInputOutputThreadsOrClock() {
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

    /** The same events lead to the same decisions and the same learned state on every kind of machine. */
    @Test
    public void decisionAndOverloadPackagesUseNoInexactMath() {
        InexactMath.isNotUsedIn("peppergauge.decision..", "peppergauge.overload..")
                .check(program);
    }

    @Test
    public void inexactMathIsFound() {
        for (Class<?> example : new Class<?>[] {Call.class, Reference.class}) {
            assertTrue(
                    InexactMath.isNotUsedIn("peppergauge")
                            .evaluate(new ClassFileImporter().importClasses(example))
                            .hasViolation(),
                    example.getName());
        }
        InexactMath.isNotUsedIn("peppergauge").check(new ClassFileImporter().importClasses(Exact.class));
    }

    private static final class Call {
        static double of(double value) {
            return Math.pow(value, 2);
        }
    }

    private static final class Reference {
        static final DoubleUnaryOperator EXP = Math::exp;
    }

    private static final class Exact {
        static double of(double value) {
            return Math.sqrt(Math.max(0, value)) + StrictMath.pow(value, 2);
        }
    }

    @Test
    public void overloadPackageUsesNoOtherPackageInputOutputThreadsOrClock() {
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
    public void coldstartPackageUsesNoOtherPackageInputOutputThreadsOrClock() {
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
    public void requestPackageUsesNoProtocol() {
        noClasses()
                .that()
                .resideInAPackage("peppergauge.request")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.apache..", "java.net..", "peppergauge.http")
                .check(program);
    }

    @Test
    public void frontendBackendAndDiscoveryAreIndependent() {
        for (String side : new String[] {"frontend", "backend", "discovery"}) {
            noClasses()
                    .that()
                    .resideInAPackage("peppergauge." + side)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(java.util.stream.Stream.of("frontend", "backend", "discovery")
                            .filter(other -> !other.equals(side))
                            .map(other -> "peppergauge." + other)
                            .toArray(String[]::new))
                    .check(program);
        }
    }
}
