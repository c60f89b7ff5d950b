package tansypass.node.configuration;

/** A source from which a process reads its configuration. Called on the main thread and on the signal thread. */
public interface ConfigSource {

    /**
     * Reads the configuration with which the process starts.
     *
     * @throws InvalidNodeConfigException if the configuration is missing or invalid
     */
    NodeConfig load() throws InvalidNodeConfigException;

    /**
     * Reads the configuration again after it has been replaced.
     *
     * @throws InvalidNodeConfigException if the configuration is missing or invalid
     */
    NodeConfig reload() throws InvalidNodeConfigException;
}
