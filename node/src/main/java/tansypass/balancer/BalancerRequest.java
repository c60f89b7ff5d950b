package tansypass.balancer;

/**
 * A client's request.
 *
 * @param id unique among the requests in flight
 * @param classIndex index into {@link BalancerSettings#classes}
 * @param tenant index into {@link BalancerSettings#tenants}, or -1
 * @param remainingUs time until the client gives up this try, in microseconds
 * @param workUs estimate of the server's work, in microseconds on a standard core; 0 if not known
 * @param retry true if the client is known to have tried before
 */
public record BalancerRequest(long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry) {}
