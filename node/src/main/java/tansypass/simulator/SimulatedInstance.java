package tansypass.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.LoadBalancer;
import tansypass.balancer.LoadBalancerActions;
import tansypass.balancer.RequestClass;
import tansypass.balancer.Tenant;
import tansypass.balancer.WeightedTwoChoicesLoadBalancer;

/** The balancer of one simulated node, with the indexes of its settings' names. Not thread-safe. */
final class SimulatedInstance {
    private static final int UNKNOWN_ZONE = -1;

    private final LoadBalancer balancer;
    private final Map<String, Integer> classes;
    private final Map<String, Integer> tenants;
    private final Map<String, Integer> zones;

    /** Starts an instance that knows no servers. */
    SimulatedInstance(BalancerSettings settings, long seed, LoadBalancerActions actions) {
        classes = indexByName(settings.classes(), RequestClass::name);
        tenants = indexByName(settings.tenants(), Tenant::name);
        zones = indexByName(settings.zones(), Function.identity());
        balancer = new WeightedTwoChoicesLoadBalancer(settings, seed, actions);
    }

    private static <T> Map<String, Integer> indexByName(List<T> values, Function<T, String> nameOf) {
        Map<String, Integer> indexes = new HashMap<>();
        values.forEach(value -> indexes.put(nameOf.apply(value), indexes.size()));
        return indexes;
    }

    LoadBalancer balancer() {
        return balancer;
    }

    /** Returns the index of a request class in the settings, or null if they have none of this name. */
    Integer findClass(String name) {
        return classes.get(name);
    }

    /** Returns the index of a tenant in the settings, or null if they have none of this name. */
    Integer findTenant(String name) {
        return tenants.get(name);
    }

    /** Returns the number of a zone by the instance's settings, or -1 if they have none of this name. */
    int zoneNumber(String name) {
        return zones.getOrDefault(name, UNKNOWN_ZONE);
    }
}
