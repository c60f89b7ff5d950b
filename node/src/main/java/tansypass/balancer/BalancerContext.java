package tansypass.balancer;

import java.util.SplittableRandom;

/**
 * The parts of one load balancer, and what they share: settings, actions, the time of the event and the log. It only
 * connects them; every decision is theirs. Times are microseconds of the caller's clock.
 */
final class BalancerContext {
    final BalancerSettings settings;
    final LoadBalancerActions actions;
    final SplittableRandom random;
    final EndpointTable servers;
    final OutlierEjection ejection;
    final RelativeLatencies latencies;
    final SlowStart slowStart;
    final ConcurrencyLimiter limiter;
    final RetryRules rules;
    final ServerSelector selector;
    final RequestLifecycle requests;
    final AdmissionQueue queue;
    final ProbeSelection probes;
    final AnswerStatistics answers;
    /** Time of the event that is being handled. */
    long now;
    /** Nodes that share the servers, this one included. */
    int nodes;

    private long timerAt = Long.MAX_VALUE;
    private final long logIntervalUs;
    private long nextLogAt;

    BalancerContext(BalancerSettings settings, long seed, LoadBalancerActions actions, long logIntervalUs) {
        this.settings = settings;
        this.actions = actions;
        this.logIntervalUs = logIntervalUs;
        random = new SplittableRandom(seed);
        nodes = settings.nodes();
        answers = new AnswerStatistics(settings.classes().size());
        servers = new EndpointTable(this);
        ejection = new OutlierEjection(this);
        latencies = new RelativeLatencies(this);
        slowStart = new SlowStart(this);
        limiter = new ConcurrencyLimiter(this);
        rules = new RetryRules(this);
        selector = new ServerSelector(this);
        requests = new RequestLifecycle(this);
        queue = new AdmissionQueue(this);
        probes = new ProbeSelection(this);
    }

    /** Writes a line for the operators, unless the last one was written just before. */
    void log(String line) {
        if (now >= nextLogAt) {
            nextLogAt = now + logIntervalUs;
            actions.log(line);
        }
    }

    /** Asks for a timer, unless an earlier one is pending. */
    void scheduleTimer(long at) {
        if (at < timerAt) {
            timerAt = Math.max(at, now + 1);
            actions.scheduleTimer(timerAt);
        }
    }

    /** Forgets the pending timer if it is due. */
    void onTimer() {
        timerAt = now >= timerAt ? Long.MAX_VALUE : timerAt;
    }
}
