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
 * The daemon stands on the sidecar and on what is added to it; neither knows of it. What decides for a fleet, forecasts
 * and keeps promises does so without input, output, threads or a clock.
 */
public class DaemonLayoutTest {

    private static final String[] FLEET_DECIDES = {
        "peppergauge.fleet.state", "peppergauge.fleet.member", "peppergauge.fleet.table", "peppergauge.fleet.decide"
    };

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @DataProvider
    public Object[][] modules() {
        return new Object[][] {{"daemon.(*).."}, {"fleet.(*).."}, {"promises.(*).."}, {"forecast.(*)"}};
    }

    @Test(dataProvider = "modules")
    public void noPackageImportsInACircle(String packages) {
        slices().matching("peppergauge." + packages).should().beFreeOfCycles().check(all);
    }

    @Test
    public void nothingElseKnowsTheDaemonOrItsLog() {
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
    public void nothingButTheDaemonKnowsTheFleet() {
        noClasses()
                .that()
                .resideOutsideOfPackages("peppergauge.fleet..", "peppergauge.daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("peppergauge.fleet..")
                .check(all);
    }

    @DataProvider
    public Object[][] deciding() {
        return new Object[][] {
            {
                FLEET_DECIDES,
                new String[] {
                    "java.nio",
                    "java.util.zip",
                    "org.HdrHistogram",
                    "peppergauge.fleet.state",
                    "peppergauge.fleet.member",
                    "peppergauge.fleet.table",
                    "peppergauge.fleet.decide",
                    "peppergauge.fleet.wire",
                    "peppergauge.promises",
                    "peppergauge.forecast",
                    "peppergauge.forecast.hits",
                    "peppergauge.forecast.memory",
                    "peppergauge.forecast.seen"
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

    @Test(dataProvider = "deciding")
    public void whatDecidesIsPure(String[] packages, String[] known) {
        classes()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage("java.lang..", "java.util", "java.util.function", "java.util.stream")
                                .or(resideInAnyPackage(known)))
                .check(all);
    }

    @Test
    public void whatDecidesReadsNoClockAndHasNoThreads() {
        noClasses()
                .that()
                .resideInAnyPackage("peppergauge.fleet.plan", "peppergauge.promises..")
                .or()
                .resideInAnyPackage(FLEET_DECIDES)
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, System.class, Instant.class, Random.class)
                .check(all);
        // Forecasts copy arrays by it.
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
    public void promisesOpenNothingAndWaitForNothing() {
        noClasses()
                .that()
                .resideInAPackage("peppergauge.promises..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.nio..", "java.net..", "java.util.concurrent..")
                .check(all);
    }
}
