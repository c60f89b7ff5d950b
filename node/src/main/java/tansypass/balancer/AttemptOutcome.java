package tansypass.balancer;

/**
 * How one attempt ended.
 *
 * @param requestId the request
 * @param attempt number of the attempt, from 0
 * @param result its result
 * @param latencyUs time since it was sent, in microseconds
 * @param requestEnded true if the request has its final response, by this outcome or before
 * @param report the server's load report in the order of {@link BalancerSettings#reportFields}, or null
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on by its one owner and never changed.
public record AttemptOutcome(
        long requestId, int attempt, AttemptResult result, long latencyUs, boolean requestEnded, double[] report) {}
