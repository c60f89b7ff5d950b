package tansypass.platform;

/**
 * The keys of the settings on the platform's wire, each with the component of {@link
 * tansypass.balancer.BalancerSettings} that it sets.
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
    /** A flag that sets no component itself: {@link #MAX_RETRY_AFTER} counts only if it is set. */
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

    /** Returns the key that sets a component; there is one for each that can be out of range. */
    static SettingKey ofComponent(String component) {
        for (SettingKey key : values()) {
            if (key.component.equals(component)) {
                return key;
            }
        }
        throw new IllegalArgumentException("no key sets " + component);
    }

    /** Returns the name of the object that the key is in; empty for the outermost one. */
    String section() {
        return section;
    }

    String wireName() {
        return wireName;
    }
}
