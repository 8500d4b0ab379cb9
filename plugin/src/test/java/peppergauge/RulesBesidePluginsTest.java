package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Supplier;
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
        return new Object[][] {{name, "all".equals(name) ? BesidePlugins.allHostile()
                : "none".equals(name) ? Bed.additions : BesidePlugins.hostile(name)}};
    }

    @Test(dataProvider = "plugIns")
    public void theRulesOnSocketsHold(String name, Supplier<Additions> additions) {
        Bed.additions = additions;
        TestNG suite = new TestNG(false);
        TestListenerAdapter results = new TestListenerAdapter();
        suite.setTestClasses(new Class<?>[] {RulesOnSocketsTest.class});
        suite.addListener(results);
        suite.setVerbose(0);
        suite.run();
        List<String> failed = results.getFailedTests().stream().map(RulesBesidePluginsTest::text).toList();
        failed.forEach(System.out::println);
        assertEquals(failed.toString(), "[]", name);
        assertTrue(results.getPassedTests().size() > 60, "passed " + results.getPassedTests().size());
    }

    private static String text(ITestResult result) {
        return result.getName() + java.util.Arrays.toString(result.getParameters()) + ": " + result.getThrowable();
    }

    @AfterMethod
    public void plainAgain() {
        Bed.additions = () -> Additions.NONE;
    }
}
