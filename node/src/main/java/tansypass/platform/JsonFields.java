package tansypass.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;

/**
 * Typed access to the fields of a JSON object. A number may be written as a string. A field that is null is present,
 * but has the wrong type.
 *
 * @param path path of the object in its document, or of the list that contains it; empty for the root
 * @param index index of the object in that list; {@link #NO_INDEX} if it is not in a list
 */
record JsonFields(JsonObject object, String path, int index) {
    static final int NO_INDEX = -1;

    /** Returns the fields of the root object of a document. */
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
        throw newWrongTypeException(key, "list");
    }

    /** Returns the text of a string, a number or a boolean. */
    String requireText(String key) throws InvalidValueException {
        return requirePrimitive(key, "text").getAsString();
    }

    /**
     * Returns a flag: true for the boolean true and for the string "true" in upper or lower case, false for any other
     * value.
     */
    boolean requireFlag(String key) throws InvalidValueException {
        return requirePrimitive(key, "flag").getAsBoolean();
    }

    long requireLong(String key) throws InvalidValueException {
        JsonPrimitive value = requirePrimitive(key, "number");
        try {
            return value.getAsLong();
        } catch (NumberFormatException e) {
            throw newNotANumberException(key, value, e);
        }
    }

    int requireInt(String key) throws InvalidValueException {
        JsonPrimitive value = requirePrimitive(key, "number");
        try {
            return value.getAsInt();
        } catch (NumberFormatException e) {
            throw newNotANumberException(key, value, e);
        }
    }

    double requireDouble(String key) throws InvalidValueException {
        JsonPrimitive value = requirePrimitive(key, "number");
        try {
            return value.getAsDouble();
        } catch (NumberFormatException e) {
            throw newNotANumberException(key, value, e);
        }
    }

    private JsonPrimitive requirePrimitive(String key, String type) throws InvalidValueException {
        if (require(key) instanceof JsonPrimitive primitive) {
            return primitive;
        }
        throw newWrongTypeException(key, type);
    }

    private JsonElement require(String key) throws InvalidValueException {
        JsonElement value = object.get(key);
        if (value == null) {
            throw newInvalidValueException(key, "is missing");
        }
        return value;
    }

    private InvalidValueException newWrongTypeException(String key, String expected) {
        return newInvalidValueException(key, "is no " + expected + ": " + object.get(key));
    }

    private InvalidValueException newNotANumberException(String key, JsonPrimitive value, NumberFormatException cause) {
        return new InvalidValueException(formatPath(key), "is not a number: " + value.getAsString(), cause);
    }

    InvalidValueException newInvalidValueException(String key, String problem) {
        return new InvalidValueException(formatPath(key), problem);
    }

    private String formatPath(String key) {
        if (path.isEmpty()) {
            return key;
        }
        return path + (index == NO_INDEX ? "." : "[" + index + "].") + key;
    }
}
