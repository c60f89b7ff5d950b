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
 * @param ownIncarnation the incarnation of the node's current process, as the node itself lists it
 * @param unchangedUsByLine the entries of the view, and for how many microseconds each has not changed
 */
record MembershipSnapshot(String ownIncarnation, Map<Line, Long> unchangedUsByLine) {

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
        String ownIncarnation = "";
        for (JsonElement element :
                JsonParser.parseString(body).getAsJsonObject().getAsJsonArray("members")) {
            JsonObject member = element.getAsJsonObject();
            String name = member.get("name").getAsString();
            int memberNumber = ProcessNames.numberOf(name);
            String incarnation =
                    member.get("gen").getAsString() + "." + member.get("nonce").getAsString();
            unchangedUsByLine.put(
                    new Line(
                            memberNumber,
                            incarnation,
                            member.get("state").getAsString(),
                            member.get("inc").getAsLong()),
                    member.get("for_ms").getAsLong() * 1_000);
            ownIncarnation = memberNumber == nodeNumber ? incarnation : ownIncarnation;
        }
        return new MembershipSnapshot(ownIncarnation, unchangedUsByLine);
    }
}
