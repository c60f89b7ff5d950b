package tansypass.platform;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import tansypass.balancer.BalancerSettings;
import tansypass.node.configuration.InvalidNodeConfigException;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.lifecycle.DescriptorLimiter;

/**
 * Reads a node's configuration in the platform's JSON format, and the environment variables that override its values.
 * Not thread-safe.
 */
public final class NodeConfigJsonReader {
    private static final String LISTEN = "listen";
    private static final String DISCOVERY = "discovery";
    private static final String ADMIN = "admin";
    private static final String SEED = "seed";
    private static final String LIMITS = "limits";
    private static final String SOCKETS = "sockets";
    private static final String INITIAL_ENDPOINTS = "known";
    private static final String SETTINGS = "settings";

    /**
     * The value that states that there is no discovery agent. A missing address is an error instead, because it may
     * have been forgotten.
     */
    private static final String NO_DISCOVERY = "none";

    private static final int DEFAULT_MAX_DESCRIPTORS = 1_024;
    private static final int HEX_RADIX = 16;

    private final JsonObject json;
    private final Map<String, String> environment;

    private NodeConfigJsonReader(JsonObject json, Map<String, String> environment) {
        this.json = json;
        this.environment = environment;
    }

    /**
     * Reads a configuration.
     *
     * @param environment the environment variables; those of the platform override values of the text
     * @throws InvalidNodeConfigException if the text is not a JSON object, or a value is missing or invalid
     */
    public static NodeConfig read(String text, Map<String, String> environment) throws InvalidNodeConfigException {
        JsonElement json;
        try {
            json = JsonParser.parseString(text);
        } catch (JsonParseException e) {
            throw new InvalidNodeConfigException(formatNotAnObject(e.getMessage()), e);
        }
        if (!(json instanceof JsonObject object)) {
            throw new InvalidNodeConfigException(formatNotAnObject(json.toString()));
        }
        return new NodeConfigJsonReader(object, environment).read();
    }

    private static String formatNotAnObject(String reason) {
        return EnvironmentConfigSource.FILE_VARIABLE + " holds no JSON object: " + reason;
    }

    private NodeConfig read() throws InvalidNodeConfigException {
        // If several values are invalid, the order of these calls decides which one is reported.
        BalancerSettings settings = readSettings();
        EndpointList initialEndpoints = readInitialEndpoints();
        return new NodeConfig(
                readAddress(EnvironmentConfigSource.LISTEN_VARIABLE, LISTEN),
                readDiscovery(),
                readAdmin(),
                readSeed(),
                readMaxDescriptors(),
                settings,
                initialEndpoints);
    }

    private BalancerSettings readSettings() throws InvalidNodeConfigException {
        try {
            return JsonSettings.read(requireObject(SETTINGS), SETTINGS);
        } catch (InvalidValueException e) {
            throw new InvalidNodeConfigException(e.getMessage(), e);
        }
    }

    private EndpointList readInitialEndpoints() throws InvalidNodeConfigException {
        if (!json.has(INITIAL_ENDPOINTS)) {
            return new EndpointList(0, true, List.of());
        }
        try {
            return EndpointListJsonReader.read(json.get(INITIAL_ENDPOINTS));
        } catch (MalformedEndpointListException e) {
            throw new InvalidNodeConfigException(INITIAL_ENDPOINTS + ": " + e.getMessage(), e);
        }
    }

    private InetSocketAddress readDiscovery() throws InvalidNodeConfigException {
        String variable = EnvironmentConfigSource.DISCOVERY_VARIABLE;
        return requireText(variable, DISCOVERY).equals(NO_DISCOVERY) ? null : readAddress(variable, DISCOVERY);
    }

    private InetSocketAddress readAdmin() throws InvalidNodeConfigException {
        String variable = EnvironmentConfigSource.ADMIN_VARIABLE;
        return isSet(variable) || json.has(ADMIN) ? readAddress(variable, ADMIN) : null;
    }

    private long readSeed() throws InvalidNodeConfigException {
        if (!(json.get(SEED) instanceof JsonPrimitive seed)) {
            throw new InvalidNodeConfigException(SEED + " is missing");
        }
        try {
            return Long.parseUnsignedLong(seed.getAsString(), HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new InvalidNodeConfigException(
                    SEED + " is not a hexadecimal number of up to 16 digits: " + seed.getAsString(), e);
        }
    }

    private int readMaxDescriptors() throws InvalidNodeConfigException {
        if (!json.has(LIMITS) || !(requireObject(LIMITS).get(SOCKETS) instanceof JsonPrimitive sockets)) {
            return DEFAULT_MAX_DESCRIPTORS;
        }
        String key = LIMITS + "." + SOCKETS;
        long value = parseNumber(key, sockets.getAsString());
        if (value < DescriptorLimiter.MIN_DESCRIPTORS) {
            throw new InvalidNodeConfigException(
                    key + " is under " + DescriptorLimiter.MIN_DESCRIPTORS + ": " + sockets.getAsString());
        }
        return (int) Math.min(Integer.MAX_VALUE, value);
    }

    /** Parses a number in any notation that JSON allows, such as 1e3, and drops the fraction. */
    private static long parseNumber(String key, String text) throws InvalidNodeConfigException {
        try {
            return (long) Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new InvalidNodeConfigException(key + " is not a number: " + text, e);
        }
    }

    private JsonObject requireObject(String key) throws InvalidNodeConfigException {
        if (json.get(key) instanceof JsonObject object) {
            return object;
        }
        throw new InvalidNodeConfigException(key + " is missing or no object");
    }

    private InetSocketAddress readAddress(String variable, String key) throws InvalidNodeConfigException {
        try {
            return SocketAddressParser.parse(requireText(variable, key));
        } catch (InvalidAddressException e) {
            String source = isSet(variable) ? variable : key;
            throw new InvalidNodeConfigException(source + " is " + e.getMessage(), e);
        }
    }

    private String requireText(String variable, String key) throws InvalidNodeConfigException {
        if (isSet(variable)) {
            return environment.get(variable);
        }
        if (json.get(key) instanceof JsonPrimitive text) {
            return text.getAsString();
        }
        throw new InvalidNodeConfigException(variable + " is not set, nor " + key);
    }

    private boolean isSet(String variable) {
        return !environment.getOrDefault(variable, "").isEmpty();
    }
}
