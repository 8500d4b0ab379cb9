package peppergauge.fleet;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import org.testng.annotations.Test;

/** What is merged, believed and handed out is decided without input, output, threads or a clock. */
public class FleetLayoutTest {

    private static final String[] DECIDING = {"peppergauge.fleet.state", "peppergauge.fleet.member",
        "peppergauge.fleet.table", "peppergauge.fleet.decide"};

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("peppergauge");

    @Test
    public void noPackageImportsInACircle() {
        slices().matching("peppergauge.fleet.(*)..").should().beFreeOfCycles().check(all);
    }

    @Test
    public void whatDecidesIsPure() {
        classes().that().resideInAnyPackage(DECIDING).should().onlyDependOnClassesThat().resideInAnyPackage(
                "java.lang..", "java.util", "java.util.function", "java.util.stream", "java.util.zip", "java.nio",
                "org.HdrHistogram", "peppergauge.fleet.state", "peppergauge.fleet.member", "peppergauge.fleet.table",
                "peppergauge.fleet.decide", "peppergauge.fleet.wire", "peppergauge.promises", "peppergauge.forecast",
                "peppergauge.forecast.hits", "peppergauge.forecast.memory", "peppergauge.forecast.seen")
                .check(all);
        noClasses().that().resideInAnyPackage(DECIDING).should().dependOnClassesThat()
                .belongToAnyOf(Thread.class, System.class).check(all);
        noClasses().that().resideInAnyPackage(DECIDING).should().callMethod(Instant.class, "now").check(all);
        noClasses().that().resideInAPackage("peppergauge.fleet.plan").should().dependOnClassesThat()
                .belongToAnyOf(Thread.class, System.class, Instant.class).check(all);
    }

    @Test
    public void nothingOfTheSidecarKnowsTheFleet() {
        noClasses().that().resideOutsideOfPackage("peppergauge.fleet..").should().dependOnClassesThat()
                .resideInAPackage("peppergauge.fleet..").check(all);
    }
}
