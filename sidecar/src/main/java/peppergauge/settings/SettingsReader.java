package peppergauge.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.decision.LoadBalancer.Tenant;

/** Maps {@code params} of the JSON settings to the load balancer's settings; unknown keys are ignored. Stateless. */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * Reads the load balancer's settings. Absent keys get default values, and so do objects, lists and flags of another
     * type.
     *
     * @throws IllegalArgumentException if a number has another type, a list contains another type than objects, or a
     *     value is out of range
     */
    public static Settings read(Map<String, Object> params) {
        return new Settings(
                (int) number(params, "me", 0),
                (int) number(params, "balancers", 1),
                (int) number(params, "zone", 0),
                number(params, "tickMs", 1),
                "subscribe".equals(params.get("registryMode")),
                number(params, "overShareWorth", 1),
                classes(params),
                tenants(params),
                limits(params),
                rules(object(params, "rules")),
                loadFields(object(params, "report")));
    }

    private static Limits limits(Map<String, Object> params) {
        Map<String, Object> limits = object(params, "limits");
        Map<String, Object> charges = object(params, "charges");
        return new Limits(
                (int) number(limits, "mostTries", 1),
                flag(limits, "parallelTries"),
                flag(limits, "cancelling"),
                flag(limits, "mayProbe"),
                flag(limits, "retryAfter"),
                number(limits, "maxRetryAfterMs", 0),
                number(charges, "connection", 0) > 0 || number(charges, "handshake", 0) > 0,
                number(limits, "connIdleMs", 0));
    }

    private static Rules rules(Map<String, Object> rules) {
        return new Rules(
                number(rules, "coldShare", 1),
                number(rules, "coldMs", 0),
                number(rules, "tipMultiple", 1),
                number(rules, "fallMs", 0),
                !flag(rules, "softRemoval"),
                retryBudget(rules));
    }

    /** Returns how long a draining server may still receive requests, ms; empty if the settings have no such rule. */
    public static OptionalDouble drainGraceMs(Map<String, Object> params) {
        Map<String, Object> rules = object(params, "rules");
        return rules.containsKey("drainGraceMs")
                ? OptionalDouble.of(number(rules, "drainGraceMs", 0))
                : OptionalDouble.empty();
    }

    /** Each of the three keys may be absent; if all are absent, retries are not limited. */
    private static RetryBudgetConfig retryBudget(Map<String, Object> rules) {
        boolean isLimited = rules.containsKey("extraFree")
                || rules.containsKey("resendRatio")
                || rules.containsKey("budgetWindowMs");
        return !isLimited
                ? RetryBudgetConfig.UNLIMITED
                : new RetryBudgetConfig(
                        finite(rules, "extraFree"), finite(rules, "resendRatio"), finite(rules, "budgetWindowMs"));
    }

    private static double finite(Map<String, Object> from, String key) {
        double value = number(from, key, 0);
        if (Double.isInfinite(value)) {
            throw new IllegalArgumentException("setting " + key + " is " + value + ", expected a finite number");
        }
        return value;
    }

    private static List<RequestClass> classes(Map<String, Object> params) {
        List<RequestClass> classes = new ArrayList<>();
        for (Map<String, Object> requestClass : objects(params, "profiles")) {
            double latencyObjectiveMs = number(requestClass, "aimMs", 0);
            classes.add(new RequestClass(
                    latencyObjectiveMs,
                    number(requestClass, "deadlineMs", latencyObjectiveMs),
                    number(requestClass, "worth", 1),
                    number(requestClass, "lateWorth", 0),
                    idempotency(requestClass.get("effect")),
                    keyScope(requestClass.get("group")),
                    number(requestClass, "keyTtlMs", 0)));
        }
        return classes;
    }

    private static List<Tenant> tenants(Map<String, Object> params) {
        List<Tenant> tenants = new ArrayList<>();
        for (Map<String, Object> tenant : objects(params, "tenants")) {
            tenants.add(new Tenant(number(tenant, "quotaPerS", 0)));
        }
        return tenants;
    }

    private static List<LoadField> loadFields(Map<String, Object> report) {
        List<LoadField> fields = new ArrayList<>();
        if (report.get("names") instanceof List<?> names) {
            for (Object name : names) {
                fields.add(loadField(String.valueOf(name)));
            }
        }
        return fields;
    }

    /** Returns the load field for its name in the settings or in a report's header. */
    public static LoadField loadField(String name) {
        return switch (name) {
            case "active", "inflight" -> LoadField.IN_FLIGHT;
            case "waiting", "queue" -> LoadField.QUEUED;
            case "cpu", "util" -> LoadField.UTILISATION;
            case "avg_ms", "latency_ms" -> LoadField.LATENCY_MS;
            case "rps", "qps" -> LoadField.SERVED_PER_S;
            case "err_rps", "eps" -> LoadField.ERRORS_PER_S;
            default -> LoadField.OTHER;
        };
    }

    /** An unknown effect counts as not idempotent. */
    private static Idempotency idempotency(Object name) {
        return switch (String.valueOf(name)) {
            case "idempotent" -> Idempotency.IDEMPOTENT;
            case "deduplicated" -> Idempotency.IDEMPOTENCY_KEY;
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    private static KeyScope keyScope(Object name) {
        return switch (String.valueOf(name)) {
            case "all" -> KeyScope.ALL;
            case "zone" -> KeyScope.ZONE;
            default -> KeyScope.CELL;
        };
    }

    private static double number(Map<String, Object> from, String key, double defaultValue) {
        Object value = from.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException("setting " + key + " is " + value + ", expected a number");
    }

    private static boolean flag(Map<String, Object> from, String key) {
        return Boolean.TRUE.equals(from.get(key));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Map<String, Object> from, String key) {
        return from.get(key) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> objects(Map<String, Object> from, String key) {
        List<Map<String, Object>> objects = new ArrayList<>();
        if (from.get(key) instanceof List<?> list) {
            for (Object element : list) {
                if (!(element instanceof Map<?, ?> map)) {
                    throw new IllegalArgumentException(
                            "setting " + key + " contains " + element + ", expected objects");
                }
                objects.add((Map<String, Object>) map);
            }
        }
        return objects;
    }
}
