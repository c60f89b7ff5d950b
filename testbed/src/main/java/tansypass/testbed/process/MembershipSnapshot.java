package tansypass.testbed.process;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import tansypass.testbed.invariant.MembershipInvariantChecker.Line;
import tansypass.testbed.model.ProcessNames;

/**
 * A node's membership view, as its view page shows it.
 *
 * @param ownProcessKey the key of the node's current process: its generation and nonce, as the node itself lists them
 * @param unchangedUsByLine the entries of the view, and the time since the last change of each, in microseconds
 */
record MembershipSnapshot(String ownProcessKey, Map<Line, Long> unchangedUsByLine) {

    /** Returns the numbers of the members that are present in this view. */
    Set<Integer> presentMembers() {
        return unchangedUsByLine.keySet().stream()
                .filter(Line::isPresent)
                .map(Line::of)
                .collect(Collectors.toSet());
    }

    /** Parses the view page of the node with this number. */
    static MembershipSnapshot parse(int nodeNumber, String body) {
        Map<Line, Long> unchangedUsByLine = new LinkedHashMap<>();
        String ownProcessKey = "";
        for (JsonElement element :
                JsonParser.parseString(body).getAsJsonObject().getAsJsonArray("members")) {
            JsonObject member = element.getAsJsonObject();
            String name = member.get("name").getAsString();
            int memberNumber = ProcessNames.numberOf(name);
            String processKey =
                    member.get("gen").getAsString() + "." + member.get("nonce").getAsString();
            unchangedUsByLine.put(
                    new Line(
                            memberNumber,
                            processKey,
                            member.get("state").getAsString(),
                            member.get("inc").getAsLong()),
                    member.get("for_ms").getAsLong() * 1_000);
            ownProcessKey = memberNumber == nodeNumber ? processKey : ownProcessKey;
        }
        return new MembershipSnapshot(ownProcessKey, unchangedUsByLine);
    }
}
