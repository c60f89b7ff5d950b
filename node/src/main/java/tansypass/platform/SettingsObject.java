package tansypass.platform;

import java.util.List;
import java.util.Optional;

/**
 * A read-only view of one object of the settings, in one of the forms of the platform's wire. Both forms write numbers
 * and flags in the same way, so that a view has to find texts only. Not thread-safe.
 */
abstract class SettingsObject {

    /**
     * Returns the text of a value that is neither an object nor a list of objects; empty if there is none. The items of
     * a list are joined by commas.
     *
     * @throws InvalidValueException if the value has a form that is no text
     */
    abstract Optional<String> findText(String key) throws InvalidValueException;

    /** Returns the object under a key; one without values if there is none. */
    abstract SettingsObject section(String key);

    /**
     * Returns the number of objects in the list under a key; 0 if there is no list of objects.
     *
     * @throws InvalidValueException if the form gives the number as a value, and this is none
     */
    abstract int countItems(String key) throws InvalidValueException;

    /** Returns an object of the list under a key, from 0 on. */
    abstract SettingsObject item(String key, int index);

    /** Returns a key with its path, as this form writes it. */
    abstract String path(String key);

    final boolean has(String key) throws InvalidValueException {
        return findText(key).isPresent();
    }

    final String requireText(String key) throws InvalidValueException {
        return findText(key).orElseThrow(() -> invalid(key, "is missing"));
    }

    final String getText(String key, String defaultValue) throws InvalidValueException {
        return findText(key).orElse(defaultValue);
    }

    /** Returns the items of a list of texts; none if it is missing or empty. */
    final List<String> getTexts(String key) throws InvalidValueException {
        String text = getText(key, "");
        return text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    /** Returns whether the value is 1 or true; any other one counts as false. */
    final boolean getFlag(String key) throws InvalidValueException {
        String text = getText(key, "0");
        return text.equals("1") || text.equals("true");
    }

    /** Returns a number without its fraction. */
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
            throw new InvalidValueException(path(key), "is not a number: " + text, e);
        }
    }

    final double getDouble(String key, double defaultValue) throws InvalidValueException {
        return has(key) ? requireDouble(key) : defaultValue;
    }

    /** Returns an exception that names the key with its path. */
    final InvalidValueException invalid(String key, String problem) {
        return new InvalidValueException(path(key), problem);
    }
}
