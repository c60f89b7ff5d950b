package tansypass.balancer;

/**
 * The outcome of one attempt.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt, from 0
 * @param result result of the attempt
 * @param latencyUs time since the attempt was sent, in microseconds
 * @param requestEnded whether the request has its final response, by this outcome or an earlier one
 * @param report the server's load report in the order of {@link BalancerSettings#reportFields}, or null
 */
@SuppressWarnings("ArrayRecordComponent") // The array has one owner at a time and is never changed.
public record AttemptOutcome(
        long requestId, int attempt, AttemptResult result, long latencyUs, boolean requestEnded, double[] report) {}
