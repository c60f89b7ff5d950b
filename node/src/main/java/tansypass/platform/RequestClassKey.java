package tansypass.platform;

/**
 * The platform's keys for a request class, each with the component of {@link tansypass.balancer.RequestClass} that it
 * sets.
 */
enum RequestClassKey {
    NAME("name", "name"),
    LATENCY_OBJECTIVE("onTimeUs", "latencyObjectiveUs"),
    OBJECTIVE_STRETCH("aimStretch", "objectiveStretch"),
    DEADLINE("giveUpUs", "deadlineUs"),
    PRIORITY_WEIGHT("importance", "priorityWeight"),
    RESIDUAL_WEIGHT("lateWorth", "residualWeight"),
    IDEMPOTENCY("repeat", "idempotency"),
    DEDUPLICATION_SCOPE("group", "deduplicationScope"),
    DEDUPLICATION_WINDOW("windowUs", "deduplicationWindowUs"),
    STREAM("stream", "stream");

    private final String wireName;
    private final String component;

    RequestClassKey(String wireName, String component) {
        this.wireName = wireName;
        this.component = component;
    }

    /** Returns the key that sets a component of a request class; each component has one. */
    static RequestClassKey ofComponent(String component) {
        for (RequestClassKey key : values()) {
            if (key.component.equals(component)) {
                return key;
            }
        }
        throw new IllegalArgumentException("no key sets " + component);
    }

    String wireName() {
        return wireName;
    }
}
