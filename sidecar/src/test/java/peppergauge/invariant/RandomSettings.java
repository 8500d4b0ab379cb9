package peppergauge.invariant;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.decision.LoadBalancer.Tenant;

/** Creates random settings of load balancers. */
final class RandomSettings {

    private RandomSettings() {}

    static Settings of(SplittableRandom random) {
        List<RequestClass> classes = new ArrayList<>();
        for (Idempotency idempotency : Idempotency.values()) {
            double objectiveMs = 50 + random.nextInt(500);
            classes.add(new RequestClass(
                    objectiveMs,
                    objectiveMs * (1 + random.nextInt(3)),
                    random.nextInt(5),
                    random.nextInt(3) / 2.0,
                    idempotency,
                    pick(random, KeyScope.values()),
                    random.nextInt(2_000)));
        }
        classes.add(new RequestClass(200, 600, 1, 0, Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, 4_000));
        List<Tenant> tenants = List.of(new Tenant(0), new Tenant(5), new Tenant(200));
        List<LoadField> fields = new ArrayList<>(List.of(LoadField.values()));
        fields.removeIf(field -> random.nextInt(3) == 0);
        RetryBudgetConfig budget = random.nextBoolean()
                ? RetryBudgetConfig.UNLIMITED
                : new RetryBudgetConfig(random.nextInt(6), random.nextInt(4) / 10.0, 1 + random.nextInt(10_000));
        return new Settings(
                0,
                1 + random.nextInt(random.nextBoolean() ? 4 : 300),
                random.nextInt(3),
                random.nextInt(5),
                random.nextBoolean(),
                0.1,
                classes,
                tenants,
                new Limits(
                        1 + random.nextInt(4),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        false,
                        random.nextBoolean(),
                        1_500,
                        random.nextBoolean(),
                        15_000),
                new Rules(0.12, random.nextInt(30_000), 0.5 + random.nextInt(4), 3_000, random.nextBoolean(), budget),
                fields);
    }

    static <T> T pick(SplittableRandom random, T[] values) {
        return values[random.nextInt(values.length)];
    }
}
