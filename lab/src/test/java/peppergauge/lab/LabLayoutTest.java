package peppergauge.lab;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.belongToAnyOf;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteUniformSampler;
import org.testng.annotations.Test;
import peppergauge.InexactMath;

/** Checks the dependencies between the lab's packages, and that no other module depends on the lab. */
public class LabLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void labPackagesHaveNoCycles() {
        slices().matching("peppergauge.lab.(*)..").should().beFreeOfCycles().check(all);
    }

    @Test
    public void otherModulesDoNotDependOnLab() {
        noClasses()
                .that()
                .resideOutsideOfPackage("peppergauge.lab..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("peppergauge.lab..", "picocli..")
                .check(all);
    }

    /** Stand-ins and load generators are used outside scenarios, and reports read result files only. */
    @Test
    public void generalPackagesDoNotDependOnScenarios() {
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
    public void onlyCommandPackageDependsOnPicocli() {
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

    /**
     * Forecasts, latency objectives, the fleet's tables, membership and the emulator have the same results on every
     * kind of machine. The excluded libraries use inexact functions. Backoffs, outside these packages, raise 2 to a
     * whole number by {@link Math#pow}, which is exact for whole numbers.
     */
    @Test
    public void reproducibleModulesUseNoInexactMath() {
        String[] reproducible = {
            "peppergauge.forecast..",
            "peppergauge.promises..",
            "peppergauge.fleet.member..",
            "peppergauge.fleet.planner..",
            "peppergauge.fleet.planning..",
            "peppergauge.fleet.service..",
            "peppergauge.fleet.state..",
            "peppergauge.fleet.table..",
            "peppergauge.membership..",
            "peppergauge.lab.emulator.."
        };
        InexactMath.isNotUsedIn(reproducible).check(all);
        noClasses()
                .that()
                .resideInAnyPackage(reproducible)
                .should()
                .dependOnClassesThat(resideInAnyPackage(
                                "org.apache.commons.statistics..",
                                "org.apache.commons.numbers..",
                                "org.apache.commons.rng.sampling..")
                        .and(not(belongToAnyOf(DiscreteSampler.class, DiscreteUniformSampler.class))))
                .check(all);
    }
}
