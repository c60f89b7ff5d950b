package tansypass.node;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Where a process reads its configuration from. Called from the main thread and from that of signals. */
public interface ConfigSource {

    /**
     * Reads the configuration to start with.
     *
     * @throws InvalidNodeConfigException if it is missing or invalid
     */
    NodeConfig load();

    /**
     * Reads the configuration again after it has been replaced.
     *
     * @throws InvalidNodeConfigException if it is missing or invalid
     */
    NodeConfig reload();

    /** Returns a source that follows the platform's {@code LB_*} variables. */
    static ConfigSource ofEnvironment(Map<String, String> environment) {
        return new ConfigSource() {
            @Override
            public NodeConfig load() {
                return NodeConfig.read(environment);
            }

            @Override
            public NodeConfig reload() {
                // The replaced file is newer than the variable.
                Map<String, String> withoutDiscovery = new HashMap<>(environment);
                withoutDiscovery.remove(NodeConfigParser.DISCOVERY_VARIABLE);
                return NodeConfig.read(withoutDiscovery);
            }
        };
    }

    /**
     * Returns a source that parses a text in the platform's JSON form.
     *
     * @param json is called at each reading; throws IllegalArgumentException if there is no valid configuration
     */
    static ConfigSource ofJson(Supplier<String> json) {
        return new ConfigSource() {
            @Override
            public NodeConfig load() {
                try {
                    return NodeConfig.parse(json.get(), Map.of());
                } catch (IllegalArgumentException e) {
                    throw InvalidNodeConfigException.from(e);
                }
            }

            @Override
            public NodeConfig reload() {
                return load();
            }
        };
    }
}
