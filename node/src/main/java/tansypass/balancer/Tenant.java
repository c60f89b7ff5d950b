package tansypass.balancer;

/**
 * A tenant.
 *
 * @param name name of the tenant, used in messages
 * @param quotaPerS quota in requests per second over all nodes; 0 for no quota
 */
public record Tenant(String name, double quotaPerS) {}
