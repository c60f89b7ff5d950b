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

/**
 * The load balancer of one simulated node, and the indexes of the classes, tenants and zones in its settings. Not
 * thread-safe.
 */
final class SimulatedInstance {
    /** Returned instead of an index for a name that the settings do not contain. */
    static final int NOT_FOUND = -1;

    private final LoadBalancer balancer;
    private final Map<String, Integer> classIndexes;
    private final Map<String, Integer> tenantIndexes;
    private final Map<String, Integer> zoneIndexes;

    /** Creates an instance that has received no endpoint list. */
    SimulatedInstance(BalancerSettings settings, long seed, LoadBalancerActions actions) {
        classIndexes = indexByName(settings.classes(), RequestClass::name);
        tenantIndexes = indexByName(settings.tenants(), Tenant::name);
        zoneIndexes = indexByName(settings.zones(), Function.identity());
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
        return classIndexes.getOrDefault(name, NOT_FOUND);
    }

    /** Returns the index of a tenant in the settings, or {@link #NOT_FOUND}. */
    int findTenant(String name) {
        return tenantIndexes.getOrDefault(name, NOT_FOUND);
    }

    /** Returns the index of a zone in the settings, or {@link #NOT_FOUND}. */
    int findZone(String name) {
        return zoneIndexes.getOrDefault(name, NOT_FOUND);
    }
}
