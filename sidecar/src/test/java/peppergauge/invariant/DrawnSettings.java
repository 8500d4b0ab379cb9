package peppergauge.invariant;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.decision.Balancer.Budget;
import peppergauge.decision.Balancer.Effect;
import peppergauge.decision.Balancer.Group;
import peppergauge.decision.Balancer.Limits;
import peppergauge.decision.Balancer.LoadField;
import peppergauge.decision.Balancer.RequestClass;
import peppergauge.decision.Balancer.Rules;
import peppergauge.decision.Balancer.Settings;
import peppergauge.decision.Balancer.Tenant;

/** Deployments of every kind that the settings can name. */
final class DrawnSettings {

    private DrawnSettings() {}

    static Settings of(SplittableRandom random) {
        List<RequestClass> classes = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            double aimMs = 50 + random.nextInt(500);
            classes.add(new RequestClass(
                    aimMs,
                    aimMs * (1 + random.nextInt(3)),
                    random.nextInt(5),
                    random.nextInt(3) / 2.0,
                    effect,
                    any(random, Group.values()),
                    random.nextInt(2_000)));
        }
        classes.add(new RequestClass(200, 600, 1, 0, Effect.KEYED, Group.ZONE, 4_000));
        List<Tenant> tenants = List.of(new Tenant(0), new Tenant(5), new Tenant(200));
        List<LoadField> fields = new ArrayList<>(List.of(LoadField.values()));
        fields.removeIf(field -> random.nextInt(3) == 0);
        Budget budget = random.nextBoolean()
                ? Budget.NONE
                : new Budget(random.nextInt(6), random.nextInt(4) / 10.0, 1 + random.nextInt(10_000));
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

    static <T> T any(SplittableRandom random, T[] of) {
        return of[random.nextInt(of.length)];
    }
}
