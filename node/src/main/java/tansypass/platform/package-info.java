/**
 * The edge towards the platform: the only code that knows the platform's names for settings, configurations and
 * endpoint lists. Each name is mapped once to the terms of {@link tansypass.balancer.BalancerSettings},
 * {@link tansypass.node.configuration.NodeConfig} and {@link tansypass.node.endpoint.EndpointList}, for both forms in
 * which settings arrive: JSON, and the path=value pairs of the simulator's handshake. Errors name the key as written.
 */
package tansypass.platform;
