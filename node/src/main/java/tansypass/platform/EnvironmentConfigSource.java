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

/** Reads the JSON file that {@code LB_CONFIG} names; the platform's other variables override it. Thread-safe. */
public final class EnvironmentConfigSource implements ConfigSource {
    static final String FILE_VARIABLE = "LB_CONFIG";
    static final String LISTEN_VARIABLE = "LB_LISTEN";
    static final String DISCOVERY_VARIABLE = "LB_DISCOVERY";
    static final String ADMIN_VARIABLE = "LB_ADMIN";

    private final Map<String, String> environment;

    /** Creates a source that follows an environment's variables. */
    public EnvironmentConfigSource(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    @Override
    public NodeConfig load() throws InvalidNodeConfigException {
        return read(environment);
    }

    /** Reads the file again, which is newer than the variable for discovery's address: that variable is ignored. */
    @Override
    public NodeConfig reload() throws InvalidNodeConfigException {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove(DISCOVERY_VARIABLE);
        return read(withoutDiscovery);
    }

    /** Blocks on the file system. */
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
