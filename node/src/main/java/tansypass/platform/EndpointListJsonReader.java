package tansypass.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tansypass.balancer.ServerState;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.endpoint.EndpointList.Endpoint;

/**
 * Reads endpoint lists in the JSON format of discovery: the events of a watch, and the initial list in a node's
 * configuration. A list with an invalid entry is rejected as a whole, because the rest of it would be a list that
 * discovery has never published.
 */
public final class EndpointListJsonReader {
    static final String REVISION = "rev";
    static final String IS_SNAPSHOT = "all";
    static final String ENDPOINTS = "targets";

    static final String ID = "uid";
    static final String ADDRESS = "endpoint";
    static final String ZONE = "az";
    static final String CELL = "pod_group";
    static final String STATE = "state";
    static final String WEIGHT = "capacity_hint";
    static final String BOOT_MS = "boot_ms";

    static final String STATE_READY = "Ready";
    static final String STATE_DRAINING = "Terminating";
    static final String STATE_GONE = "Gone";

    private EndpointListJsonReader() {}

    /**
     * Reads an endpoint list from the text of a watch event.
     *
     * @throws MalformedEndpointListException if the text is not JSON, a required field is missing, or a field is
     *     malformed
     */
    public static EndpointList read(String text) throws MalformedEndpointListException {
        JsonElement json;
        try {
            json = JsonParser.parseString(text);
        } catch (JsonParseException e) {
            throw new MalformedEndpointListException("not JSON: " + e.getMessage(), e);
        }
        return read(json);
    }

    /**
     * Reads an endpoint list. If several entries have the same id, the last one is used; if they differ, that is
     * logged.
     *
     * @throws MalformedEndpointListException if a required field is missing, or a field is malformed
     */
    public static EndpointList read(JsonElement json) throws MalformedEndpointListException {
        if (!(json instanceof JsonObject object)) {
            throw new MalformedEndpointListException("not an endpoint list: " + json);
        }
        JsonFields fields = JsonFields.ofDocument(object);
        try {
            List<Endpoint> entries = readEndpoints(fields.requireArray(ENDPOINTS));
            return EndpointList.ofEntries(fields.requireLong(REVISION), fields.requireFlag(IS_SNAPSHOT), entries);
        } catch (InvalidValueException e) {
            throw new MalformedEndpointListException("not an endpoint list: " + e.getMessage(), e);
        }
    }

    private static List<Endpoint> readEndpoints(JsonArray items) throws InvalidValueException {
        List<Endpoint> endpoints = new ArrayList<>(items.size());
        for (int i = 0; i < items.size(); i++) {
            if (!(items.get(i) instanceof JsonObject item)) {
                throw new InvalidValueException(ENDPOINTS + "[" + i + "]", "is no object: " + items.get(i));
            }
            endpoints.add(readEndpoint(new JsonFields(item, ENDPOINTS, i)));
        }
        return endpoints;
    }

    private static Endpoint readEndpoint(JsonFields fields) throws InvalidValueException {
        return new Endpoint(
                fields.requireText(ID),
                readAddress(fields),
                fields.has(ZONE) ? fields.requireText(ZONE) : "",
                fields.has(CELL) ? fields.requireInt(CELL) : 0,
                readState(fields),
                fields.has(WEIGHT) ? fields.requireDouble(WEIGHT) : 1,
                fields.has(BOOT_MS) ? fields.requireLong(BOOT_MS) : 0);
    }

    private static InetSocketAddress readAddress(JsonFields fields) throws InvalidValueException {
        try {
            return SocketAddressParser.parse(fields.requireText(ADDRESS));
        } catch (InvalidAddressException e) {
            throw fields.newInvalidValueException(ADDRESS, "is " + e.getMessage());
        }
    }

    private static ServerState readState(JsonFields fields) throws InvalidValueException {
        String state = fields.requireText(STATE);
        return switch (state) {
            case STATE_READY -> ServerState.READY;
            case STATE_DRAINING -> ServerState.DRAINING;
            case STATE_GONE -> ServerState.GONE;
            default -> throw fields.newInvalidValueException(STATE, "is unknown: " + state);
        };
    }
}
