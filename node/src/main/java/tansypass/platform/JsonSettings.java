package tansypass.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Optional;
import tansypass.balancer.BalancerSettings;

/** Settings in the format of nested JSON objects. A key whose value is null counts as missing. Not thread-safe. */
final class JsonSettings extends SettingsObject {
    private final JsonObject values;
    private final String path;

    private JsonSettings(JsonObject values, String path) {
        this.values = values;
        this.path = path;
    }

    /**
     * Reads the load balancer's settings.
     *
     * @param path path of the settings in their document, for error messages
     * @throws InvalidValueException if a value is missing or invalid; the message names its path
     */
    static BalancerSettings read(JsonObject settings, String path) throws InvalidValueException {
        return SettingsReader.read(new JsonSettings(settings, path));
    }

    @Override
    Optional<String> findText(String key) throws InvalidValueException {
        JsonElement value = values.get(key);
        if (value == null || value.isJsonNull() || value.isJsonObject()) {
            return Optional.empty();
        }
        if (value.isJsonPrimitive()) {
            return Optional.of(value.getAsString());
        }
        JsonArray items = value.getAsJsonArray();
        return isObjectList(items) ? Optional.empty() : Optional.of(joinByCommas(key, items));
    }

    private static boolean isObjectList(JsonArray items) {
        return !items.isEmpty() && items.get(0).isJsonObject();
    }

    private String joinByCommas(String key, JsonArray items) throws InvalidValueException {
        StringBuilder joined = new StringBuilder();
        for (int i = 0; i < items.size(); i++) {
            JsonElement item = items.get(i);
            if (!item.isJsonPrimitive() && !item.isJsonNull()) {
                throw newInvalidValueException(key, "has a value of the wrong form: " + item);
            }
            joined.append(i == 0 ? "" : ",").append(item.isJsonNull() ? "" : item.getAsString());
        }
        return joined.toString();
    }

    @Override
    SettingsObject getSection(String key) {
        return new JsonSettings(asObject(values.get(key)), formatPath(key));
    }

    @Override
    int countItems(String key) {
        JsonElement value = values.get(key);
        return value instanceof JsonArray items && isObjectList(items) ? items.size() : 0;
    }

    @Override
    SettingsObject getItem(String key, int index) {
        return new JsonSettings(asObject(values.getAsJsonArray(key).get(index)), formatPath(key) + "[" + index + "]");
    }

    private static JsonObject asObject(JsonElement value) {
        return value instanceof JsonObject object ? object : new JsonObject();
    }

    @Override
    String formatPath(String key) {
        return path + "." + key;
    }
}
