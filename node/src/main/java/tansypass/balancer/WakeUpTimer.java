package tansypass.balancer;

/** The one timer that the load balancer has pending at a time. Times are microseconds of the caller's clock. */
final class WakeUpTimer {
    private final LoadBalancerActions actions;
    private long pendingAtUs = Long.MAX_VALUE;

    WakeUpTimer(LoadBalancerActions actions) {
        this.actions = actions;
    }

    /** Schedules the timer, unless it is pending for that time or an earlier one. */
    void scheduleAt(long atUs, long nowUs) {
        if (atUs < pendingAtUs) {
            pendingAtUs = Math.max(atUs, nowUs + 1);
            actions.scheduleTimer(pendingAtUs);
        }
    }

    /** A timer has fired: the pending one is forgotten if it is due. */
    void onFired(long nowUs) {
        if (nowUs >= pendingAtUs) {
            pendingAtUs = Long.MAX_VALUE;
        }
    }
}
