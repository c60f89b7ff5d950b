package tansypass.balancer;

/**
 * One entry of an endpoint list.
 *
 * @param id id of the server, which does not change with a restart
 * @param zone index into {@link BalancerSettings#zones}
 * @param cell number of the group of servers that share idempotency keys
 * @param state state of the server
 * @param weight capacity of the server, relative to that of other servers
 * @param startedAtUs time of the server's last start, in microseconds of the caller's clock; 0 if it has long been
 *     running
 */
public record ServerEntry(String id, int zone, int cell, ServerState state, double weight, long startedAtUs) {}
