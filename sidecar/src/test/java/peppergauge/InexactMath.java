package peppergauge;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Set;

/**
 * Rule that packages compute the same on every kind of machine: {@link Math} may return another last bit for these
 * functions, as their contracts allow, and {@link StrictMath} may not. All others of {@code Math} are exact.
 */
public final class InexactMath {

    private static final Set<String> FUNCTIONS = Set.of(
            "sin", "cos", "tan", "asin", "acos", "atan", "atan2", "sinh", "cosh", "tanh", "exp", "expm1", "log",
            "log10", "log1p", "pow", "cbrt", "hypot");

    private InexactMath() {}

    /** Returns the rule for these packages, as ArchUnit denotes them. */
    public static ArchRule isNotUsedIn(String... packages) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .accessTargetWhere(DescribedPredicate.describe(
                        "it is a function of Math with an inexact result",
                        (JavaAccess<?> access) -> access.getTargetOwner().isEquivalentTo(Math.class)
                                && FUNCTIONS.contains(access.getTarget().getName())));
    }
}
