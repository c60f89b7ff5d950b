package tansypass.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;

/**
 * Typed access to the fields of a JSON object. A number may be written as a text; a null is no value.
 *
 * @param path where the object is in its document; empty for the outermost one
 * @param index its index if it is an item of a list at that path, else {@link #NO_INDEX}
 */
record JsonFields(JsonObject object, String path, int index) {
    static final int NO_INDEX = -1;

    /** Returns the fields of the outermost object of a document. */
    static JsonFields ofDocument(JsonObject object) {
        return new JsonFields(object, "", NO_INDEX);
    }

    boolean has(String key) {
        return object.has(key);
    }

    JsonArray requireArray(String key) throws InvalidValueException {
        if (require(key) instanceof JsonArray array) {
            return array;
        }
        throw wrongType(key, "list");
    }

    /** Returns a text; a number or a flag counts as one too. */
    String requireText(String key) throws InvalidValueException {
        return requirePrimitive(key, "text").getAsString();
    }

    /** Returns a flag; a text counts as true if it is true, anything else as false. */
    boolean requireFlag(String key) throws InvalidValueException {
        return requirePrimitive(key, "flag").getAsBoolean();
    }

    long requireLong(String key) throws InvalidValueException {
        JsonPrimitive value = requirePrimitive(key, "number");
        try {
            return value.getAsLong();
        } catch (NumberFormatException e) {
            throw notANumber(key, value, e);
        }
    }

    int requireInt(String key) throws InvalidValueException {
        JsonPrimitive value = requirePrimitive(key, "number");
        try {
            return value.getAsInt();
        } catch (NumberFormatException e) {
            throw notANumber(key, value, e);
        }
    }

    double requireDouble(String key) throws InvalidValueException {
        JsonPrimitive value = requirePrimitive(key, "number");
        try {
            return value.getAsDouble();
        } catch (NumberFormatException e) {
            throw notANumber(key, value, e);
        }
    }

    private JsonPrimitive requirePrimitive(String key, String type) throws InvalidValueException {
        if (require(key) instanceof JsonPrimitive primitive) {
            return primitive;
        }
        throw wrongType(key, type);
    }

    private JsonElement require(String key) throws InvalidValueException {
        JsonElement value = object.get(key);
        if (value == null) {
            throw invalid(key, "is missing");
        }
        return value;
    }

    private InvalidValueException wrongType(String key, String expected) {
        return invalid(key, "is no " + expected + ": " + object.get(key));
    }

    private InvalidValueException notANumber(String key, JsonPrimitive value, NumberFormatException cause) {
        return new InvalidValueException(path(key), "is not a number: " + value.getAsString(), cause);
    }

    InvalidValueException invalid(String key, String problem) {
        return new InvalidValueException(path(key), problem);
    }

    private String path(String key) {
        if (path.isEmpty()) {
            return key;
        }
        return path + (index == NO_INDEX ? "." : "[" + index + "].") + key;
    }
}
