package tansypass.balancer;

import java.util.SplittableRandom;

/** Subscribes to changes of the endpoint list if the settings require it. Times are microseconds. */
final class EndpointSubscription {
    /** Mean of the first delay before a failed subscription is renewed; the mean doubles with each failure. */
    private static final long FIRST_BACKOFF_US = 250_000;

    private final boolean enabled;
    private final long responseTimeoutUs;
    private final LoadBalancerActions actions;
    private final SplittableRandom random;
    private final JitteredBackoff backoff;
    private long dueAtUs = Long.MAX_VALUE;

    EndpointSubscription(BalancerSettings settings, LoadBalancerActions actions, SplittableRandom random) {
        this.actions = actions;
        this.random = random;
        enabled = settings.listPolling();
        responseTimeoutUs = Math.max(1, settings.maxPollIntervalUs() / 2);
        backoff = new JitteredBackoff(FIRST_BACKOFF_US, Math.max(1, settings.maxPollIntervalUs() / 4));
    }

    /** Returns the time at which the subscription is due for renewal, {@link Long#MAX_VALUE} for never. */
    long dueAtUs() {
        return dueAtUs;
    }

    /** Handles the arrival of an endpoint list. The cached list comes first and triggers the subscription. */
    void onEndpointUpdate(UpdateKind kind, long nowUs) {
        if (!enabled) {
            return;
        }
        if (kind == UpdateKind.CACHED) {
            subscribe(nowUs);
        } else {
            dueAtUs = Long.MAX_VALUE;
            backoff.reset();
        }
    }

    /** Handles a failed subscription. The backoff has a jitter: nodes that fail together must not retry together. */
    void onFailure(long nowUs) {
        if (enabled) {
            dueAtUs = nowUs + backoff.nextDelayUs(random);
        }
    }

    /** Renews the subscription if it is due. */
    void onTimer(long nowUs) {
        if (nowUs >= dueAtUs) {
            subscribe(nowUs);
        }
    }

    private void subscribe(long nowUs) {
        actions.subscribe();
        dueAtUs = nowUs + responseTimeoutUs;
    }
}
