package tansypass.platform;

import java.util.List;
import java.util.Optional;

/**
 * A read-only view of one object of the settings, independent of the platform's format. The formats (JSON and the
 * simulator's handshake) write numbers and flags alike, so a subclass only finds the texts of values, and this class
 * parses them. Not thread-safe.
 */
abstract class SettingsObject {

    /**
     * Returns the text of a value; empty if the key is missing, or if its value is an object or a list of objects. The
     * items of any other list are joined by commas.
     *
     * @throws InvalidValueException if the value has no text, such as a list of lists
     */
    abstract Optional<String> findText(String key) throws InvalidValueException;

    /** Returns the object under a key; an object without values if there is none. */
    abstract SettingsObject getSection(String key);

    /**
     * Returns the number of objects in the list under a key; 0 if there is no list of objects.
     *
     * @throws InvalidValueException if the format writes the length of a list as a value, and that is not a number
     */
    abstract int countItems(String key) throws InvalidValueException;

    /** Returns the object at an index, counted from 0, in the list under a key. */
    abstract SettingsObject getItem(String key, int index);

    /** Returns the path of a key, as the format writes it. */
    abstract String formatPath(String key);

    final boolean has(String key) throws InvalidValueException {
        return findText(key).isPresent();
    }

    final String requireText(String key) throws InvalidValueException {
        return findText(key).orElseThrow(() -> newInvalidValueException(key, "is missing"));
    }

    final String getText(String key, String defaultValue) throws InvalidValueException {
        return findText(key).orElse(defaultValue);
    }

    /** Returns the items of a list of texts; an empty list if the key is missing or its value is empty. */
    final List<String> getTexts(String key) throws InvalidValueException {
        String text = getText(key, "");
        return text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    /** Returns whether the value is 1 or true; any other value, or none, counts as false. */
    final boolean getFlag(String key) throws InvalidValueException {
        String text = getText(key, "0");
        return text.equals("1") || text.equals("true");
    }

    /** Returns a number, whose fraction is dropped. */
    final long requireLong(String key) throws InvalidValueException {
        return (long) requireDouble(key);
    }

    final long getLong(String key, long defaultValue) throws InvalidValueException {
        return has(key) ? requireLong(key) : defaultValue;
    }

    final double requireDouble(String key) throws InvalidValueException {
        String text = requireText(key);
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new InvalidValueException(formatPath(key), "is not a number: " + text, e);
        }
    }

    final double getDouble(String key, double defaultValue) throws InvalidValueException {
        return has(key) ? requireDouble(key) : defaultValue;
    }

    /** Creates an exception whose message names the path of the key. */
    final InvalidValueException newInvalidValueException(String key, String problem) {
        return new InvalidValueException(formatPath(key), problem);
    }
}
