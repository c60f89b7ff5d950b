package tansypass.balancer;

/**
 * A class of requests.
 *
 * @param name name of the class, used in messages
 * @param latencyObjectiveUs time within which a response has the full priority weight, in microseconds
 * @param objectiveStretch multiple of a request's own work by which its latency objective is extended, up to the
 *     deadline
 * @param deadlineUs time that a client waits over all of its tries, in microseconds
 * @param priorityWeight value of a response in time, relative to that of other classes; 0 or more
 * @param residualWeight share of that value that a response after the objective still has, from 0 to 1
 * @param idempotency rule for how often a request may be executed
 * @param deduplicationScope for keyed classes: the group of servers that drops repeats
 * @param deduplicationWindowUs for keyed classes: time during which repeats are dropped, in microseconds from the first
 *     attempt that may have been executed
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
