package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.testng.ITestResult;
import org.testng.TestListenerAdapter;
import org.testng.TestNG;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The sidecar's own rules on sockets, with plug-ins before the sessions: the same verdicts as without. */
public class RulesBesidePluginsTest {

    /** All at once; {@code -Dhostile=NAME} takes one by itself, and {@code none} none. */
    @DataProvider
    public Object[][] plugIns() {
        String name = System.getProperty("hostile", "all");
        return new Object[][] {
            {
                name,
                "all".equals(name)
                        ? BesidePlugins.allHostile()
                        : "none".equals(name) ? SidecarFixture.additions : BesidePlugins.hostile(name)
            }
        };
    }

    @Test(dataProvider = "plugIns")
    public void theRulesOnSocketsHold(String name, Supplier<SidecarExtension> additions) {
        SidecarFixture.additions = additions;
        assertEquals(failures().toString(), "[]", name);
    }

    private static Set<String> failures() {
        TestNG suite = new TestNG(false);
        TestListenerAdapter results = new TestListenerAdapter();
        suite.setTestClasses(new Class<?>[] {RulesOnSocketsTest.class});
        suite.addListener(results);
        suite.setVerbose(0);
        suite.run();
        results.getFailedTests().forEach(failed -> System.out.println(text(failed) + ": " + failed.getThrowable()));
        assertTrue(
                results.getPassedTests().size() > 60,
                "passed " + results.getPassedTests().size());
        return results.getFailedTests().stream()
                .map(RulesBesidePluginsTest::text)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static String text(ITestResult result) {
        return result.getName() + " " + result.getMethod().getParameterInvocationCount() + " "
                + Arrays.toString(result.getParameters()).replaceAll("\\s+|Lambda.*?@\\w+|0x\\w+", " ");
    }

    @AfterMethod
    public void plainAgain() {
        SidecarFixture.additions = () -> SidecarExtension.NONE;
    }
}
