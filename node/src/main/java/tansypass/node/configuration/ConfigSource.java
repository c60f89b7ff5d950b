package tansypass.node.configuration;

/** Where a process reads its configuration from. Called from the main thread and from that of signals. */
public interface ConfigSource {

    /**
     * Reads the configuration to start with.
     *
     * @throws InvalidNodeConfigException if it is missing or invalid
     */
    NodeConfig load() throws InvalidNodeConfigException;

    /**
     * Reads the configuration again after it has been replaced.
     *
     * @throws InvalidNodeConfigException if it is missing or invalid
     */
    NodeConfig reload() throws InvalidNodeConfigException;
}
