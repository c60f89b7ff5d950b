package tansypass.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleConsumer;
import java.util.function.LongConsumer;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.DeduplicationScope;
import tansypass.balancer.Idempotency;
import tansypass.balancer.InvalidSettingException;
import tansypass.balancer.LoadReportField;
import tansypass.balancer.RequestClass;
import tansypass.balancer.Tenant;

/**
 * Converts the platform's settings, in either of their formats, to those of the load balancer. A missing setting takes
 * the load balancer's documented default; only the list of classes, the required keys of a class and the name of a
 * tenant have none. Unknown keys are ignored. The simulator and the proxy node share this class, so both run the load
 * balancer under the same settings.
 */
final class SettingsReader {
    private static final String WEIGHT_BY_WORK = "work";
    private static final String LIST_POLLING = "on_request";
    private static final String TENANT_NAME = "name";
    private static final String TENANT_QUOTA = "quotaPerS";

    private final SettingsObject root;
    private final BalancerSettings.Builder settings = BalancerSettings.builder();

    private SettingsReader(SettingsObject root) {
        this.root = root;
    }

    /**
     * Reads all settings from their root object.
     *
     * @throws InvalidValueException if a value is missing or invalid; the message names its path
     */
    static BalancerSettings read(SettingsObject root) throws InvalidValueException {
        return new SettingsReader(root).read();
    }

    private BalancerSettings read() throws InvalidValueException {
        // If several values are invalid, the order of these calls decides which one is reported.
        readLong(SettingKey.NODES, nodes -> settings.nodes((int) nodes));
        readZones();
        readClasses();
        readTenants();
        readDouble(SettingKey.OVER_QUOTA_WEIGHT, settings::overQuotaWeight);
        settings.weightByWork(getText(SettingKey.WEIGHT_UNIT).equals(WEIGHT_BY_WORK));
        readLimits();
        settings.listPolling(getText(SettingKey.LIST_MODE).equals(LIST_POLLING));
        readRules();
        readDouble(SettingKey.CROSS_ZONE_PRICE, settings::crossZonePrice);
        readDouble(SettingKey.PROBE_PRICE, settings::probePrice);
        readReportFields();
        try {
            return settings.build();
        } catch (InvalidSettingException e) {
            throw new InvalidValueException(formatKeyPath(e), e.problem(), e);
        }
    }

    private void readZones() throws InvalidValueException {
        List<String> zones = new ArrayList<>(getTexts(SettingKey.ZONES));
        String localZone = getText(SettingKey.LOCAL_ZONE);
        if (!localZone.isEmpty() && !zones.isEmpty() && !zones.contains(localZone)) {
            // The list of zones does not name the node's own zone: it becomes a further zone.
            zones.add(localZone);
        }
        settings.zones(zones);
        settings.localZone(Math.max(0, zones.indexOf(localZone)));
    }

    private void readClasses() throws InvalidValueException {
        int count = root.countItems(SettingKey.CLASSES.wireName());
        for (int i = 0; i < count; i++) {
            settings.addClass(readClass(root.getItem(SettingKey.CLASSES.wireName(), i)));
        }
    }

    private void readTenants() throws InvalidValueException {
        List<Tenant> tenants = new ArrayList<>();
        int count = root.countItems(SettingKey.TENANTS.wireName());
        for (int i = 0; i < count; i++) {
            SettingsObject tenant = root.getItem(SettingKey.TENANTS.wireName(), i);
            tenants.add(new Tenant(tenant.requireText(TENANT_NAME), tenant.getDouble(TENANT_QUOTA, 0)));
        }
        settings.tenants(tenants);
    }

    private void readLimits() throws InvalidValueException {
        readLong(SettingKey.MAX_ATTEMPTS, attempts -> settings.maxAttempts((int) attempts));
        settings.hedging(getFlag(SettingKey.HEDGING));
        settings.cancel(getFlag(SettingKey.CANCEL));
        settings.probes(getFlag(SettingKey.PROBES));
        if (getFlag(SettingKey.RETRY_AFTER)) {
            readLong(SettingKey.MAX_RETRY_AFTER, settings::maxRetryAfterUs);
        }
        readLong(SettingKey.TICK, settings::tickUs);
        readLong(SettingKey.CONNECT_TIMEOUT, settings::connectTimeoutUs);
        readLong(SettingKey.CONNECTION_IDLE, settings::connectionIdleUs);
    }

    private void readRules() throws InvalidValueException {
        readLong(SettingKey.MAX_POLL_INTERVAL, settings::maxPollIntervalUs);
        readLong(SettingKey.DRAIN_GRACE, settings::drainGraceUs);
        readDouble(SettingKey.SLOW_START_CAPACITY, settings::slowStartCapacity);
        readLong(SettingKey.SLOW_START, settings::slowStartUs);
        readDouble(SettingKey.OVERLOAD_MULTIPLE, settings::overloadMultiple);
        readLong(SettingKey.OVERLOAD_WINDOW, settings::overloadWindowUs);
    }

    private void readReportFields() throws InvalidValueException {
        List<LoadReportField> fields = new ArrayList<>();
        for (String name : getTexts(SettingKey.REPORT_FIELDS)) {
            fields.add(toReportField(name));
        }
        settings.reportFields(fields);
    }

    private static LoadReportField toReportField(String name) {
        return switch (name) {
            case "concurrent" -> LoadReportField.IN_FLIGHT;
            case "depth" -> LoadReportField.QUEUED;
            case "load_share" -> LoadReportField.UTILISATION;
            case "mean_ms" -> LoadReportField.LATENCY_MS;
            case "tps" -> LoadReportField.SERVED_PER_S;
            case "err_ps" -> LoadReportField.ERRORS_PER_S;
            default -> LoadReportField.OTHER;
        };
    }

    private static RequestClass readClass(SettingsObject values) throws InvalidValueException {
        return new RequestClass(
                values.requireText(RequestClassKey.NAME.wireName()),
                values.requireLong(RequestClassKey.LATENCY_OBJECTIVE.wireName()),
                values.getDouble(RequestClassKey.OBJECTIVE_STRETCH.wireName(), 0),
                values.requireLong(RequestClassKey.DEADLINE.wireName()),
                values.getDouble(RequestClassKey.PRIORITY_WEIGHT.wireName(), 1),
                values.getDouble(RequestClassKey.RESIDUAL_WEIGHT.wireName(), 0),
                readIdempotency(values),
                readDeduplicationScope(values),
                values.getLong(RequestClassKey.DEDUPLICATION_WINDOW.wireName(), 0),
                values.getFlag(RequestClassKey.STREAM.wireName()));
    }

    private static Idempotency readIdempotency(SettingsObject values) throws InvalidValueException {
        String key = RequestClassKey.IDEMPOTENCY.wireName();
        String value = values.requireText(key);
        return switch (value) {
            case "safe" -> Idempotency.IDEMPOTENT;
            case "keyed" -> Idempotency.KEYED;
            case "unsafe" -> Idempotency.NON_IDEMPOTENT;
            default -> throw values.newInvalidValueException(key, "is unknown: " + value);
        };
    }

    private static DeduplicationScope readDeduplicationScope(SettingsObject values) throws InvalidValueException {
        String key = RequestClassKey.DEDUPLICATION_SCOPE.wireName();
        String value = values.getText(key, "all");
        return switch (value) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw values.newInvalidValueException(key, "is unknown: " + value);
        };
    }

    /** Returns the path of the key that has set the invalid component, as written in the input. */
    private String formatKeyPath(InvalidSettingException invalid) {
        if (invalid.classIndex().isPresent()) {
            SettingsObject requestClass = root.getItem(
                    SettingKey.CLASSES.wireName(), invalid.classIndex().getAsInt());
            return requestClass.formatPath(
                    RequestClassKey.ofComponent(invalid.component()).wireName());
        }
        SettingKey key = SettingKey.ofComponent(invalid.component());
        return getSection(key).formatPath(key.wireName());
    }

    private SettingsObject getSection(SettingKey key) {
        return key.section().isEmpty() ? root : root.getSection(key.section());
    }

    private String getText(SettingKey key) throws InvalidValueException {
        return getSection(key).getText(key.wireName(), "");
    }

    private List<String> getTexts(SettingKey key) throws InvalidValueException {
        return getSection(key).getTexts(key.wireName());
    }

    private boolean getFlag(SettingKey key) throws InvalidValueException {
        return getSection(key).getFlag(key.wireName());
    }

    /** Passes the whole part of a number to its setter, or leaves the default if the key is missing. */
    private void readLong(SettingKey key, LongConsumer setter) throws InvalidValueException {
        SettingsObject section = getSection(key);
        if (section.has(key.wireName())) {
            setter.accept(section.requireLong(key.wireName()));
        }
    }

    /** Passes a number to its setter, or leaves the default if the key is missing. */
    private void readDouble(SettingKey key, DoubleConsumer setter) throws InvalidValueException {
        SettingsObject section = getSection(key);
        if (section.has(key.wireName())) {
            setter.accept(section.requireDouble(key.wireName()));
        }
    }
}
