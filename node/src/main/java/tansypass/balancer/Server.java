package tansypass.balancer;

/**
 * One server as this node knows it: its entry on the endpoint list, which {@link EndpointTable} sets, its count of
 * errors, which {@link ErrorWeights} keeps, its attempts in flight, which {@link EndpointTable} counts, and the state
 * of the parts of the load balancer. Only the owner of a state changes it, but for {@link #restart} and {@link
 * #resetHealth}. Times are microseconds of the caller's clock.
 */
final class Server {
    /** Power of the listed weight: busy to the same degree, a large server still responds sooner than a small one. */
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

    /** Owned by {@link OutcomeRecorder}: share of failed responses, without timeouts and overload. */
    final Ewma failureRate = new Ewma(RelativeLatencies.GAIN, 0);

    private final String id;
    private int zone;
    private int cell;
    private ServerState state;
    private long startedAtUs;
    private int position;
    private double listedWeight;
    private double capacityWeight;
    private int errors;
    private int inFlight;
    private long lastResponseAtUs;

    /** A server that has just appeared on the list, shared by so many nodes. */
    Server(String id, int nodes) {
        this.id = id;
        limit = new ConcurrencyLimit(nodes);
    }

    /** Takes over an entry of the endpoint list. */
    void update(ServerEntry entry) {
        state = entry.state();
        zone = entry.zone();
        cell = entry.cell();
        listedWeight = entry.weight() > 0 ? entry.weight() : 1;
        capacityWeight = Math.pow(listedWeight, CAPACITY_EXPONENT);
    }

    /** The server is not on the list any more. */
    void markGone() {
        state = ServerState.GONE;
    }

    /**
     * The server has started anew: what was recorded of its last process does not hold for this one.
     *
     * @param nodes number of nodes that share the server
     * @param slowStartRequests its first slow-start budget
     */
    void restart(long restartedAtUs, int nodes, double slowStartRequests, long nowUs) {
        startedAtUs = restartedAtUs;
        resetHealth(nodes);
        slowStart.start(slowStartRequests, nowUs);
    }

    /** Forgets the server's failures and ejection, and gives it the limit of a new one. */
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

    /** Whether the server gets ordinary requests. */
    boolean isInUse() {
        return isReady() && !ejection.isEjected();
    }

    /** When the server last started; 0 if long ago. */
    long startedAtUs() {
        return startedAtUs;
    }

    /** Capacity by the endpoint list, relative to that of other servers. */
    double listedWeight() {
        return listedWeight;
    }

    /** The factor of the server's capacity in its selection weight. */
    double capacityWeight() {
        return capacityWeight;
    }

    /** Index among the ready servers. */
    int position() {
        return position;
    }

    void setPosition(int position) {
        this.position = position;
    }

    /** Failures since the last success: the error count of ServiceQ. */
    int errors() {
        return errors;
    }

    void addError() {
        errors++;
    }

    void clearErrors() {
        errors = 0;
    }

    /** This node's attempts in flight at the server. */
    int inFlight() {
        return inFlight;
    }

    void addInFlight(int change) {
        inFlight += change;
    }

    void recordResponse(long nowUs) {
        lastResponseAtUs = nowUs;
    }

    /** Whether a response has arrived from the server at this time or later. */
    boolean hasRespondedSince(long sinceUs) {
        return lastResponseAtUs >= sinceUs;
    }
}
