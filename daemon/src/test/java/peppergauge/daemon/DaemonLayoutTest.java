package peppergauge.daemon;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The daemon depends on the sidecar and its extensions, and none of them depends on the daemon. The decision packages
 * of the fleet service, the forecasts and the objectives have no I/O, threads or clock.
 */
public class DaemonLayoutTest {

    private static final String[] FLEET_DECISION_PACKAGES = {
        "peppergauge.fleet.state", "peppergauge.fleet.member", "peppergauge.fleet.table", "peppergauge.fleet.planner"
    };

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @DataProvider
    public Object[][] modules() {
        return new Object[][] {{"daemon.(*).."}, {"fleet.(*).."}, {"promises.(*).."}, {"forecast.(*)"}};
    }

    @Test(dataProvider = "modules")
    public void packagesHaveNoCycles(String packages) {
        slices().matching("peppergauge." + packages).should().beFreeOfCycles().check(all);
    }

    @Test
    public void onlyDaemonDependsOnDaemonAndLoggingLibraries() {
        noClasses()
                .that()
                .resideOutsideOfPackage("peppergauge.daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("peppergauge.daemon..", "org.slf4j..")
                .check(all);
        noClasses()
                .that()
                .resideOutsideOfPackage("peppergauge.daemon.logging..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.slf4j..", "java.util.logging..")
                .check(all);
    }

    @Test
    public void onlyDaemonDependsOnFleet() {
        noClasses()
                .that()
                .resideOutsideOfPackages("peppergauge.fleet..", "peppergauge.daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("peppergauge.fleet..")
                .check(all);
    }

    @DataProvider
    public Object[][] decisionPackages() {
        return new Object[][] {
            {
                FLEET_DECISION_PACKAGES,
                new String[] {
                    "java.nio",
                    "java.util.zip",
                    "org.HdrHistogram",
                    "peppergauge.fleet.state",
                    "peppergauge.fleet.member",
                    "peppergauge.fleet.table",
                    "peppergauge.fleet.planner",
                    "peppergauge.fleet.wire",
                    "peppergauge.promises",
                    "peppergauge.forecast",
                    "peppergauge.forecast.hitrate",
                    "peppergauge.forecast.cache",
                    "peppergauge.forecast.observation"
                }
            },
            {
                new String[] {"peppergauge.forecast.."},
                new String[] {
                    "net.openhft.hashing",
                    "peppergauge.forecast..",
                    "org.apache.datasketches.frequencies",
                    "org.apache.commons.statistics.distribution"
                }
            },
        };
    }

    @Test(dataProvider = "decisionPackages")
    public void decisionPackagesDependOnlyOnAllowedPackages(String[] packages, String[] allowed) {
        classes()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage("java.lang..", "java.util", "java.util.function", "java.util.stream")
                                .or(resideInAnyPackage(allowed)))
                .check(all);
    }

    @Test
    public void decisionPackagesHaveNoClockThreadsOrRandomness() {
        noClasses()
                .that()
                .resideInAnyPackage("peppergauge.fleet.planning", "peppergauge.promises..")
                .or()
                .resideInAnyPackage(FLEET_DECISION_PACKAGES)
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, System.class, Instant.class, Random.class)
                .check(all);
        // Forecasts may depend on System, since they use System.arraycopy.
        noClasses()
                .that()
                .resideInAPackage("peppergauge.forecast..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, Instant.class, Random.class)
                .check(all);
    }

    @Test
    public void objectivePackagesHaveNoIoOrConcurrency() {
        noClasses()
                .that()
                .resideInAPackage("peppergauge.promises..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.nio..", "java.net..", "java.util.concurrent..")
                .check(all);
    }
}
