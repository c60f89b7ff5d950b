package tansypass.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import tansypass.node.configuration.ConfigSource;
import tansypass.node.configuration.InvalidNodeConfigException;
import tansypass.node.configuration.NodeConfig;

/**
 * Reads the configuration from the JSON file that the environment variable {@code LB_CONFIG} names. The platform's
 * other variables override values of the file. Thread-safe.
 */
public final class EnvironmentConfigSource implements ConfigSource {
    static final String FILE_VARIABLE = "LB_CONFIG";
    static final String LISTEN_VARIABLE = "LB_LISTEN";
    static final String DISCOVERY_VARIABLE = "LB_DISCOVERY";
    static final String ADMIN_VARIABLE = "LB_ADMIN";

    private final Map<String, String> environment;

    /** Creates a source that uses the variables of an environment. */
    public EnvironmentConfigSource(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    @Override
    public NodeConfig load() throws InvalidNodeConfigException {
        return read(environment);
    }

    /**
     * Reads the file again. The variable with discovery's address is ignored, because it still has the value from the
     * start of the process, and the file is newer.
     */
    @Override
    public NodeConfig reload() throws InvalidNodeConfigException {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove(DISCOVERY_VARIABLE);
        return read(withoutDiscovery);
    }

    /** Reads and parses the file; blocks on file I/O. */
    private static NodeConfig read(Map<String, String> environment) throws InvalidNodeConfigException {
        String path = environment.getOrDefault(FILE_VARIABLE, "");
        if (path.isEmpty()) {
            throw new InvalidNodeConfigException(FILE_VARIABLE + " is not set");
        }
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new InvalidNodeConfigException(FILE_VARIABLE + " can't be read: " + e, e);
        }
        return NodeConfigJsonReader.read(text, environment);
    }
}
