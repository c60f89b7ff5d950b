package tansypass.platform;

/**
 * The platform's keys for settings, each with the component of {@link tansypass.balancer.BalancerSettings} that it
 * sets.
 */
enum SettingKey {
    NODES("", "balancers", "nodes"),
    ZONES("", "zones", "zones"),
    LOCAL_ZONE("", "myZone", "localZone"),
    CLASSES("", "classes", "classes"),
    TENANTS("", "realms", "tenants"),
    OVER_QUOTA_WEIGHT("", "overShareWorth", "overQuotaWeight"),
    WEIGHT_UNIT("", "countedBy", "weightByWork"),
    LIST_MODE("", "membershipMode", "listPolling"),
    TICK("", "quantumUs", "tickUs"),
    MAX_ATTEMPTS("limits", "attemptsCap", "maxAttempts"),
    HEDGING("limits", "parallelTries", "hedging"),
    CANCEL("limits", "cancelling", "cancel"),
    PROBES("limits", "probes", "probes"),
    /** A flag that sets no component: {@link #MAX_RETRY_AFTER} is ignored unless this flag is true. */
    RETRY_AFTER("limits", "retryAfter", ""),
    MAX_RETRY_AFTER("limits", "maxRetryAfterUs", "maxRetryAfterUs"),
    CONNECT_TIMEOUT("limits", "dialTimeoutUs", "connectTimeoutUs"),
    CONNECTION_IDLE("limits", "connIdleUs", "connectionIdleUs"),
    MAX_POLL_INTERVAL("rules", "askWithinUs", "maxPollIntervalUs"),
    DRAIN_GRACE("rules", "drainGraceUs", "drainGraceUs"),
    SLOW_START_CAPACITY("rules", "coldFrom", "slowStartCapacity"),
    SLOW_START("rules", "coldUs", "slowStartUs"),
    OVERLOAD_MULTIPLE("rules", "overloadFactor", "overloadMultiple"),
    OVERLOAD_WINDOW("rules", "fallUs", "overloadWindowUs"),
    CROSS_ZONE_PRICE("costs", "crossZone", "crossZonePrice"),
    PROBE_PRICE("costs", "probe", "probePrice"),
    REPORT_FIELDS("report", "fields", "reportFields");

    private final String section;
    private final String wireName;
    private final String component;

    SettingKey(String section, String wireName, String component) {
        this.section = section;
        this.wireName = wireName;
        this.component = component;
    }

    /** Returns the key that sets a component of the settings; each component that can be out of range has one. */
    static SettingKey ofComponent(String component) {
        for (SettingKey key : values()) {
            if (key.component.equals(component)) {
                return key;
            }
        }
        throw new IllegalArgumentException("no key sets " + component);
    }

    /** Returns the name of the object that contains the key; empty for the root. */
    String section() {
        return section;
    }

    String wireName() {
        return wireName;
    }
}
