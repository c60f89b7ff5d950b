package tansypass.balancer;

/**
 * One entry of an endpoint list.
 *
 * @param id name of the server, which it keeps across restarts
 * @param zone index into {@link BalancerSettings#zones}
 * @param cell number of the group of servers that share idempotency keys
 * @param state whether it accepts requests
 * @param weight capacity, relative to that of other servers
 * @param startedAtUs time of its last start, in microseconds of the caller's clock; 0 if long ago
 */
public record ServerEntry(String id, int zone, int cell, ServerState state, double weight, long startedAtUs) {}
