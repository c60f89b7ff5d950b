package tansypass.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import tansypass.cluster.transport.ClusterTransport;

/**
 * A member's view of the cluster, fetched from its cluster address. The response is not trusted: a missing value reads
 * as "?", and control characters are replaced.
 */
final class MembershipSnapshot {
    private static final String MISSING = "?";
    private static final Set<String> PRESENT_STATES = Set.of("alive", "suspect");

    private final JsonObject json;

    private MembershipSnapshot(JsonObject json) {
        this.json = json;
    }

    /**
     * Fetches the view of the member at a cluster address.
     *
     * @throws NotAMemberException if the response is not a JSON object
     * @throws IOException if the address is invalid or there is no response, see {@link AdminCall#send}
     */
    static MembershipSnapshot fetch(String address) throws IOException {
        String body = AdminCall.send(address, "GET", ClusterTransport.VIEW_PATH).body();
        JsonElement json = parse(address, body);
        if (!json.isJsonObject()) {
            throw new NotAMemberException(address);
        }
        return new MembershipSnapshot(json.getAsJsonObject());
    }

    private static JsonElement parse(String address, String body) throws NotAMemberException {
        try {
            return JsonParser.parseString(body);
        } catch (JsonParseException e) {
            throw new NotAMemberException(address, e);
        }
    }

    private static String getText(JsonObject object, String key) {
        return object.has(key) ? object.get(key).getAsString().replaceAll("\\p{Cntrl}", MISSING) : MISSING;
    }

    /** Returns the name of the member whose view this is. */
    String viewer() {
        return getText(json, "name");
    }

    /** Returns the deployment that the cluster belongs to. */
    String deployment() {
        return getText(json, "deployment");
    }

    /** Returns the standing of the viewer: joining, joined, or outside if another process of its name superseded it. */
    String standing() {
        return getText(json, "standing");
    }

    /** Returns the digest, which is equal for views with the same members present. */
    String digest() {
        return getText(json, "digest");
    }

    /** Returns the version of the view, which grows with each change of the view. */
    String version() {
        return getText(json, "version");
    }

    /** Returns the entries of all members. */
    List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        for (JsonElement element : json.getAsJsonArray("members")) {
            entries.add(new Entry(element.getAsJsonObject()));
        }
        return entries;
    }

    /** The entry of one member in a view. */
    record Entry(JsonObject json) {

        String name() {
            return getText(json, "name");
        }

        String state() {
            return getText(json, "state");
        }

        /** Returns whether the member is present; a suspected member is still present. */
        boolean isPresent() {
            return PRESENT_STATES.contains(state());
        }

        String zone() {
            return getText(json, "zone");
        }

        String role() {
            return getText(json, "role");
        }

        String generation() {
            return getText(json, "gen");
        }

        String incarnation() {
            return getText(json, "inc");
        }

        /** Returns the member's cluster address. */
        String address() {
            return getText(json, "at");
        }

        /** Returns the time in milliseconds since the entry last changed, as the text in the response. */
        String unchangedMsText() {
            return getText(json, "for_ms");
        }

        /** Returns the time in milliseconds since the entry last changed; 0 if the response does not contain it. */
        long unchangedMs() {
            return json.has("for_ms") ? json.get("for_ms").getAsLong() : 0;
        }
    }
}
