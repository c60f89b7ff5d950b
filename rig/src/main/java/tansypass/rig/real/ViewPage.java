package tansypass.rig.real;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import tansypass.rig.judge.MemberJudge.Line;

/** A node's page of what it holds its fleet to be. */
record ViewPage(String life, List<Line> lines) {

    /** Those that it holds to be present. */
    Set<Integer> present() {
        return lines.stream().filter(Line::isPresent).map(Line::of).collect(Collectors.toSet());
    }

    /** Reads it; {@code number} is whose it is. */
    static ViewPage read(int number, String body) {
        List<Line> lines = new ArrayList<>();
        String own = "";
        for (JsonElement element : JsonParser.parseString(body).getAsJsonObject().getAsJsonArray("members")) {
            JsonObject member = element.getAsJsonObject();
            String name = member.get("name").getAsString();
            int of = Integer.parseInt(name.substring(name.indexOf('-') + 1));
            String life = member.get("gen").getAsString() + "." + member.get("nonce").getAsString();
            lines.add(new Line(of, life, member.get("state").getAsString(), member.get("inc").getAsLong()));
            own = of == number ? life : own;
        }
        return new ViewPage(own, lines);
    }
}
