package tansypass.node;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;
import tansypass.balancer.BalancerSettings;
import tansypass.node.discovery.EndpointList;

/**
 * The validated configuration of a node. Immutable, apart from the settings, which nothing changes.
 *
 * @param listen the address that clients connect to
 * @param discovery the address of the discovery agent, or null if the initial endpoints never change
 * @param admin the address that operators connect to, or null for no admin server
 * @param seed of all random decisions
 * @param maxDescriptors file descriptors that the process may use
 * @param settings of the decision module
 * @param initialEndpoints the endpoint list to start with; empty if the configuration has none
 */
public record NodeConfig(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress admin,
        long seed,
        int maxDescriptors,
        BalancerSettings settings,
        EndpointList initialEndpoints) {

    private static final String FILE_VARIABLE = "LB_CONFIG";

    /**
     * Reads the JSON file that the environment names. Blocks on the file system.
     *
     * @param environment the platform's variables, which take precedence over the file
     * @throws InvalidNodeConfigException if the file can't be read, or a value is missing or invalid
     */
    public static NodeConfig read(Map<String, String> environment) {
        String path = environment.get(FILE_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new InvalidNodeConfigException(FILE_VARIABLE + " is not set");
        }
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new InvalidNodeConfigException(FILE_VARIABLE + " can't be read: " + e, e);
        }
        return parse(text, environment);
    }

    /**
     * Parses a configuration in the platform's JSON form.
     *
     * @param environment the platform's variables, which take precedence over the text
     * @throws InvalidNodeConfigException if the text is not a JSON object, or a value is missing or invalid
     */
    public static NodeConfig parse(String text, Map<String, String> environment) {
        JsonObject json;
        try {
            json = JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new InvalidNodeConfigException(FILE_VARIABLE + " holds no JSON object: " + e.getMessage(), e);
        }
        try {
            return new NodeConfigParser(json, environment).parse();
        } catch (UnsupportedOperationException | IllegalStateException e) {
            throw new InvalidNodeConfigException(
                    FILE_VARIABLE + " has a value of the wrong form: " + e.getMessage(), e);
        } catch (IllegalArgumentException e) {
            throw InvalidNodeConfigException.from(e);
        }
    }
}
