package tansypass.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import tansypass.balancer.ServerState;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.endpoint.EndpointList.Endpoint;

/** Writes endpoint lists in the JSON format of discovery, for test doubles of the discovery agent. */
public final class EndpointListJsonWriter {
    /** Key of a server's machine type, which nodes ignore. */
    private static final String MODEL = "model";

    private static final String ANY_MODEL = "any";

    private EndpointListJsonWriter() {}

    /** Formats an endpoint list as a watch event: one line, without the line feed at its end. */
    public static String write(EndpointList list) {
        JsonArray endpoints = new JsonArray();
        for (Endpoint endpoint : list.endpoints()) {
            endpoints.add(toJson(endpoint));
        }
        JsonObject json = new JsonObject();
        json.addProperty(EndpointListJsonReader.REVISION, list.revision());
        json.addProperty(EndpointListJsonReader.IS_SNAPSHOT, list.isSnapshot());
        json.add(EndpointListJsonReader.ENDPOINTS, endpoints);
        return json.toString();
    }

    private static JsonObject toJson(Endpoint endpoint) {
        JsonObject json = new JsonObject();
        json.addProperty(EndpointListJsonReader.ID, endpoint.id());
        json.addProperty(EndpointListJsonReader.ADDRESS, toText(endpoint.address()));
        json.addProperty(EndpointListJsonReader.ZONE, endpoint.zone());
        json.addProperty(MODEL, ANY_MODEL);
        json.addProperty(EndpointListJsonReader.CELL, endpoint.cell());
        json.addProperty(EndpointListJsonReader.STATE, toText(endpoint.state()));
        json.addProperty(EndpointListJsonReader.WEIGHT, endpoint.weight());
        json.addProperty(EndpointListJsonReader.BOOT_MS, endpoint.bootMs());
        return json;
    }

    private static String toText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String toText(ServerState state) {
        return switch (state) {
            case READY -> EndpointListJsonReader.STATE_READY;
            case DRAINING -> EndpointListJsonReader.STATE_DRAINING;
            case GONE -> EndpointListJsonReader.STATE_GONE;
        };
    }
}
