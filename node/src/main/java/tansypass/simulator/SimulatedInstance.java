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
    /** The index of a name that the settings do not have. */
    static final int NOT_FOUND = -1;

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

    /** Returns the index of a request class in the settings, or {@link #NOT_FOUND}. */
    int findClass(String name) {
        return classes.getOrDefault(name, NOT_FOUND);
    }

    /** Returns the index of a tenant in the settings, or {@link #NOT_FOUND}. */
    int findTenant(String name) {
        return tenants.getOrDefault(name, NOT_FOUND);
    }

    /** Returns the index of a zone in the settings, or {@link #NOT_FOUND}. */
    int findZone(String name) {
        return zones.getOrDefault(name, NOT_FOUND);
    }
}
