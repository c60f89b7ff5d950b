package tansypass.balancer;

/**
 * A client's request.
 *
 * @param id id of the request, unique among the requests in flight
 * @param classIndex index into {@link BalancerSettings#classes}
 * @param tenant index into {@link BalancerSettings#tenants}, or -1 if the request has no tenant
 * @param remainingUs time until the client gives up on this try, in microseconds
 * @param workUs estimate of the server's work, in microseconds on a standard core; 0 if unknown
 * @param retry whether the client is known to have sent this request before
 */
public record BalancerRequest(long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry) {}
