/**
 * The boundary to the platform: the only code that spells the platform's names for settings, configurations and
 * endpoint lists. Each name is mapped once, to a term of {@link tansypass.balancer.BalancerSettings}, {@link
 * tansypass.node.configuration.NodeConfig} or {@link tansypass.node.endpoint.EndpointList}. Settings arrive in two
 * formats, which share that mapping: JSON, and the path=value pairs of the simulator's handshake. Error messages name a
 * key as it was written in the input.
 */
package tansypass.platform;
