package tansypass.balancer;

/**
 * A node's view of one server. {@link EndpointTable} sets the entry of the endpoint list and counts the attempts in
 * flight; {@link ErrorWeights} counts the errors. Each of the other fields has one owner, which is named at the field.
 * Only the owner changes a field, except in {@link #restart} and {@link #resetHealth}. Times are microseconds of the
 * caller's clock.
 */
final class Server {
    /** Exponent above 1, because a large server responds sooner than a small one at the same utilisation. */
    private static final double CAPACITY_EXPONENT = 1.5;

    /** Owned by {@link OutlierEjection}. */
    final EjectionState ejection = new EjectionState();

    /** Owned by {@link ConcurrencyLimiter}. */
    final ConcurrencyLimit limit;

    /** Owned by {@link SlowStart}. */
    final SlowStartBudget slowStart = new SlowStartBudget();

    /** Owned by {@link ProbeSelection}. */
    final ServerProbe probe = new ServerProbe();

    /** Owned by {@link RelativeLatencies}. */
    final DecayingEwma relativeLatency = new DecayingEwma(RelativeLatencies.GAIN, 1);

    /** Owned by {@link ConnectionTracker}. */
    final ExpiringCounter idleConnections = new ExpiringCounter();

    /** Owned by {@link OutcomeRecorder}: share of failed attempts, without timeouts and overload. */
    final Ewma failureRate = new Ewma(RelativeLatencies.GAIN, 0);

    private final String id;
    private int zone;
    private int cell;
    private ServerState state;
    private long startedAtUs;
    private int readyIndex;
    private double listedWeight;
    private double capacityWeight;
    private int errors;
    private int inFlight;
    private long lastResponseAtUs;

    /** Creates a server that has just appeared on the endpoint list and is shared by this number of nodes. */
    Server(String id, int nodes) {
        this.id = id;
        limit = new ConcurrencyLimit(nodes);
    }

    /** Applies an entry of the endpoint list. */
    void update(ServerEntry entry) {
        state = entry.state();
        zone = entry.zone();
        cell = entry.cell();
        listedWeight = entry.weight() > 0 ? entry.weight() : 1;
        capacityWeight = Math.pow(listedWeight, CAPACITY_EXPONENT);
    }

    /** Records that the server has been removed from the endpoint list. */
    void markGone() {
        state = ServerState.GONE;
    }

    /**
     * Records that the server has restarted, and discards what was recorded of its previous process.
     *
     * @param nodes number of nodes that share the server
     * @param slowStartRequests initial slow-start budget, in requests
     */
    void restart(long restartedAtUs, int nodes, double slowStartRequests, long nowUs) {
        startedAtUs = restartedAtUs;
        resetHealth(nodes);
        slowStart.start(slowStartRequests, nowUs);
    }

    /** Discards the server's failures and ejection, and resets its limit to that of a new server. */
    void resetHealth(int nodes) {
        errors = 0;
        ejection.reset();
        limit.reset(nodes);
    }

    String id() {
        return id;
    }

    int zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    boolean isReady() {
        return state == ServerState.READY;
    }

    boolean isGone() {
        return state == ServerState.GONE;
    }

    /** Returns whether the server is ready and not ejected. */
    boolean isInUse() {
        return isReady() && !ejection.isEjected();
    }

    /** Returns the time of the server's last start; 0 if the server has long been running. */
    long startedAtUs() {
        return startedAtUs;
    }

    /** Returns the server's weight on the endpoint list: its capacity relative to that of other servers. */
    double listedWeight() {
        return listedWeight;
    }

    /** Returns the factor by which the server's capacity multiplies its selection weight. */
    double capacityWeight() {
        return capacityWeight;
    }

    /** Returns the server's index among the ready servers. */
    int readyIndex() {
        return readyIndex;
    }

    void setReadyIndex(int readyIndex) {
        this.readyIndex = readyIndex;
    }

    /** Returns the number of failures since the last success, which is the error count of ServiceQ. */
    int errors() {
        return errors;
    }

    void addError() {
        errors++;
    }

    void clearErrors() {
        errors = 0;
    }

    /** Returns the number of this node's attempts in flight at the server. */
    int inFlight() {
        return inFlight;
    }

    void addInFlight(int change) {
        inFlight += change;
    }

    void recordResponse(long nowUs) {
        lastResponseAtUs = nowUs;
    }

    /** Returns whether a response has arrived from the server at {@code sinceUs} or later. */
    boolean hasRespondedSince(long sinceUs) {
        return lastResponseAtUs >= sinceUs;
    }
}
