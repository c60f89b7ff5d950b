package tansypass.balancer;

import java.util.SplittableRandom;

/** Subscribes to changes of the endpoint list, where nodes must do so. Times are microseconds. */
final class EndpointSubscription {
    /** Mean of the first backoff before a failed subscription is renewed, doubled each time. */
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

    /** When the subscription is to be renewed, {@link Long#MAX_VALUE} for never. */
    long dueAtUs() {
        return dueAtUs;
    }

    /** A list has arrived: the one that the node had cached is the sign to subscribe. */
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

    /** The subscription has failed. The backoff is jittered: nodes that fail together must not retry together. */
    void onFailure(long nowUs) {
        if (enabled) {
            dueAtUs = nowUs + backoff.next(random);
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
