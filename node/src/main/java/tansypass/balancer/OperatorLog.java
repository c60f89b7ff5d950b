package tansypass.balancer;

/** The operators' log, limited in rate: a line that follows another one too soon is dropped. */
final class OperatorLog {
    /** Least time between two lines. */
    private static final long MIN_INTERVAL_US = 1_000_000;

    private final LoadBalancerActions actions;
    private long nextLineAtUs;

    OperatorLog(LoadBalancerActions actions) {
        this.actions = actions;
    }

    void log(long nowUs, String line) {
        if (nowUs >= nextLineAtUs) {
            nextLineAtUs = nowUs + MIN_INTERVAL_US;
            actions.log(line);
        }
    }
}
