package tansypass.balancer;

/**
 * A class of requests.
 *
 * @param name for messages
 * @param latencyObjectiveUs responses within this time, in microseconds, have the full priority weight
 * @param objectiveStretch the latency objective is extended by this multiple of the request's own work, up to the
 *     deadline
 * @param deadlineUs time that a client waits over all of its tries, in microseconds
 * @param priorityWeight value of a response in time, relative to other classes; 0 or more
 * @param residualWeight share of that value, from 0 to 1, which a response after the objective still has
 * @param idempotency whether a request may be executed again
 * @param deduplicationScope for keyed classes: the servers among which repeats are dropped
 * @param deduplicationWindowUs for keyed classes: time for which they are, in microseconds from the first attempt
 *     that may have been executed
 * @param stream whether responses are streamed
 */
public record RequestClass(
        String name,
        long latencyObjectiveUs,
        double objectiveStretch,
        long deadlineUs,
        double priorityWeight,
        double residualWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        boolean stream) {}
