package tansypass.node.configuration;

import java.net.InetSocketAddress;
import tansypass.balancer.BalancerSettings;
import tansypass.node.endpoint.EndpointList;

/**
 * The configuration of a node. Immutable; its readers have checked that it is valid.
 *
 * @param listen the address that clients connect to
 * @param discovery the address of the discovery agent, or null if the initial endpoint list never changes
 * @param admin the address that operators connect to, or null for no admin server
 * @param seed the seed of all random decisions
 * @param maxDescriptors the number of file descriptors that the process may use
 * @param settings the settings of the load balancer
 * @param initialEndpoints the endpoint list to start with; empty if the configuration has none
 */
public record NodeConfig(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress admin,
        long seed,
        int maxDescriptors,
        BalancerSettings settings,
        EndpointList initialEndpoints) {}
