package tansypass.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the values of one TOML table. The caller requests each value by key and names the allowed values. An invalid
 * value is collected as a {@link ConfigError} and replaced by a placeholder, so that reading continues and all errors
 * are found at once. Keys that were never requested are errors too. Environment variables override values of top-level
 * tables.
 */
public final class TomlTableReader {
    private static final String VARIABLE_PREFIX = "TANSYPASS_";
    /** The length in characters to which errors truncate a value. */
    private static final int MAX_SHOWN_LENGTH = 80;

    private final TomlTable table;
    private final String file;
    private final String path;
    private final int line;
    private final Map<String, String> environment;
    private final List<ConfigError> errors;
    private boolean valid = true;
    private final Set<String> knownKeys = new LinkedHashSet<>();
    /** The readers of inner tables, by key. They are reused so that each one knows all requested keys of its table. */
    private final Map<String, List<TomlTableReader>> children = new LinkedHashMap<>();

    /**
     * Creates a reader of one table.
     *
     * @param file the name of the file in errors
     * @param path the table's path with a final dot, such as {@code "servers[0]."}; empty for the top level
     * @param line the line of the table, which errors about missing keys contain
     * @param errors receives all errors, also those of inner tables
     */
    TomlTableReader(
            TomlTable table,
            String file,
            String path,
            int line,
            Map<String, String> environment,
            List<ConfigError> errors) {
        this.table = table;
        this.file = file;
        this.path = path;
        this.line = line;
        this.environment = environment;
        this.errors = errors;
    }

    /** Returns whether the file or the environment has this key. */
    public boolean has(String key) {
        knownKeys.add(key);
        return findValue(key) != null;
    }

    /** Returns a required string that matches a pattern. */
    public String requireString(String key, String pattern, String allowed) {
        return require(key, ValueType.string(pattern, allowed), "");
    }

    /** Returns a string that matches a pattern, or the default if it is missing. */
    public String getString(String key, String pattern, String allowed, String defaultValue) {
        return get(key, ValueType.string(pattern, allowed), defaultValue);
    }

    /** Returns an integer from {@code min} to {@code max}, or the default if it is missing. */
    public long getLong(String key, long min, long max, long defaultValue) {
        return get(key, ValueType.integer(min, max), defaultValue);
    }

    /** Returns a number from {@code min} to {@code max}, or the default if it is missing. */
    public double getDouble(String key, double min, double max, double defaultValue) {
        return get(key, ValueType.number(min, max), defaultValue);
    }

    /** Returns a boolean, or the default if it is missing. */
    public boolean getBoolean(String key, boolean defaultValue) {
        return get(key, ValueType.bool(), defaultValue);
    }

    /** Returns a duration in microseconds, written like {@code "250ms"}, or the default if it is missing. */
    public long getDurationUs(String key, long minUs, long maxUs, long defaultValue) {
        return get(key, ValueType.durationUs(minUs, maxUs), defaultValue);
    }

    /** Returns a required duration in microseconds, written like {@code "250ms"}. */
    public long requireDurationUs(String key, long minUs, long maxUs) {
        return require(key, ValueType.durationUs(minUs, maxUs), minUs);
    }

    /**
     * Returns the enum constant that the value names in lower case, or the default if the key is missing. If the
     * default is null, the key is required.
     */
    public <E extends Enum<E>> E getEnum(String key, Class<E> type, E defaultValue) {
        ValueType<E> constants = ValueType.constantOf(type);
        return defaultValue == null
                ? require(key, constants, type.getEnumConstants()[0])
                : get(key, constants, defaultValue);
    }

    /** Returns a numeric IPv4 address and port, or null if it is missing and not required. */
    public InetSocketAddress getAddress(String key, boolean required) {
        if (!required && !has(key)) {
            return null;
        }
        return require(key, ValueType.address(), new InetSocketAddress(0));
    }

    /** Returns a list of numeric IPv4 addresses with ports; empty if it is missing. */
    public List<InetSocketAddress> getAddresses(String key) {
        return get(key, ValueType.addresses(), List.of());
    }

    /** Returns a list of strings that match a pattern; empty if it is missing. */
    public List<String> getStrings(String key, String pattern, String allowed) {
        return get(key, ValueType.strings(pattern, allowed), List.of());
    }

    private <T> T get(String key, ValueType<T> type, T defaultValue) {
        return has(key) ? convert(key, type, defaultValue) : defaultValue;
    }

    private <T> T require(String key, ValueType<T> type, T placeholder) {
        if (!has(key)) {
            addError(key, "is missing; allowed: " + type.allowed());
            return placeholder;
        }
        return convert(key, type, placeholder);
    }

    private <T> T convert(String key, ValueType<T> type, T placeholder) {
        Object value = findValue(key);
        T converted = type.convert(value);
        if (converted == null) {
            addError(key, describe(value) + " is not allowed; allowed: " + type.allowed());
            return placeholder;
        }
        return converted;
    }

    private static String describe(Object value) {
        String text;
        if (value instanceof TomlTable) {
            text = "a table";
        } else if (value instanceof TomlArray) {
            text = "a list";
        } else {
            text = value instanceof String s ? '"' + s + '"' : String.valueOf(value);
        }
        return text.length() > MAX_SHOWN_LENGTH ? text.substring(0, MAX_SHOWN_LENGTH) + "..." : text;
    }

    /** Returns the reader of an inner table; a missing table reads as an empty one. */
    public TomlTableReader getTable(String key) {
        knownKeys.add(key);
        return children.computeIfAbsent(key, k -> {
                    Object value = table.get(List.of(key));
                    if (value != null && !(value instanceof TomlTable)) {
                        addError(key, "must be a table [" + path + key + "]");
                    }
                    return List.of(newChild(
                            value instanceof TomlTable t ? t : Toml.parse(""), path + key + ".", findLine(key)));
                })
                .get(0);
    }

    /** Returns the readers of the tables {@code [[key]]}; none if they are missing. */
    public List<TomlTableReader> getTables(String key) {
        knownKeys.add(key);
        return children.computeIfAbsent(key, k -> {
            Object value = table.get(List.of(key));
            List<TomlTableReader> readers = new ArrayList<>();
            if (value instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
                for (int i = 0; i < array.size(); i++) {
                    readers.add(newChild(
                            array.getTable(i),
                            path + key + "[" + i + "].",
                            array.inputPositionOf(i).line()));
                }
            } else if (value != null) {
                addError(key, "must be a list of tables [[" + path + key + "]]");
            }
            return readers;
        });
    }

    /** Returns the readers of the tables {@code [[key]]}, of which at least one is required. */
    public List<TomlTableReader> requireTables(String key) {
        List<TomlTableReader> tables = getTables(key);
        if (tables.isEmpty()) {
            addError(key, "is missing; at least one table [[" + key + "]] is required");
        }
        return tables;
    }

    private TomlTableReader newChild(TomlTable child, String childPath, int childLine) {
        return new TomlTableReader(child, file, childPath, childLine, environment, errors);
    }

    /**
     * Returns whether no error was found in this table so far. Callers compare values of the table only if this is
     * true, because invalid values are replaced by placeholders.
     */
    public boolean isValid() {
        return valid;
    }

    /** Adds an error that concerns more than one value, such as a duplicate name. */
    public void addError(String key, String problem) {
        valid = false;
        String variable = variableName(key);
        boolean isOverridden = environment.containsKey(variable);
        errors.add(
                new ConfigError(isOverridden ? variable : file, isOverridden ? 0 : findLine(key), path + key, problem));
    }

    /** Adds an error for each key that was never requested, here and in inner tables. */
    void reportUnknownKeys() {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                addError(key, "is not known; allowed here: " + String.join(", ", knownKeys));
            }
        }
        children.values().forEach(readers -> readers.forEach(TomlTableReader::reportUnknownKeys));
    }

    private Object findValue(String key) {
        String override = environment.get(variableName(key));
        return override != null ? new EnvironmentValue(override) : table.get(List.of(key));
    }

    /**
     * Returns the name of the environment variable that overrides a key; empty if there is none, because the table is
     * below a top-level table.
     */
    private String variableName(String key) {
        boolean isTopLevelTable = path.indexOf('.') == path.length() - 1 && path.indexOf('[') < 0;
        return isTopLevelTable
                ? (VARIABLE_PREFIX + path + key).replace('.', '_').toUpperCase(Locale.ROOT)
                : "";
    }

    private int findLine(String key) {
        TomlPosition position = table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : null;
        return position == null ? line : position.line();
    }
}
