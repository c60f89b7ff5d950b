package tansypass.balancer;

/** The load balancer's timer, of which at most one is pending. Times are microseconds of the caller's clock. */
final class WakeUpTimer {
    private final LoadBalancerActions actions;
    private long pendingAtUs = Long.MAX_VALUE;

    WakeUpTimer(LoadBalancerActions actions) {
        this.actions = actions;
    }

    /** Schedules the timer, unless it is already pending for that time or an earlier one. */
    void scheduleAt(long atUs, long nowUs) {
        if (atUs < pendingAtUs) {
            pendingAtUs = Math.max(atUs, nowUs + 1);
            actions.scheduleTimer(pendingAtUs);
        }
    }

    /** Records that a timer has fired. The pending timer is cleared if it was due. */
    void onFired(long nowUs) {
        if (nowUs >= pendingAtUs) {
            pendingAtUs = Long.MAX_VALUE;
        }
    }
}
