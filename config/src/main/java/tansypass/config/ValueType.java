package tansypass.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tomlj.TomlArray;

/**
 * The values that a key may have, and their conversion to a Java type.
 *
 * @param allowed describes the allowed values in errors
 * @param conversion converts what the TOML library returns, or an {@link EnvironmentValue}; returns null for a value
 *     that is not allowed
 */
record ValueType<T>(String allowed, Function<Object, T> conversion) {
    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(us|ms|s|m|h)");
    private static final Map<String, Long> MICROS_PER_UNIT =
            Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L, "h", 3_600_000_000L);
    private static final Pattern ADDRESS = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;

    /** Returns the converted value, or null if it is not allowed. */
    T convert(Object value) {
        T converted = conversion.apply(value);
        if (converted == null && value instanceof EnvironmentValue variable) {
            // A value that is quoted in TOML, such as a duration, is not quoted in the environment.
            return conversion.apply(variable.text());
        }
        return converted;
    }

    /** Returns the type of strings that match a pattern. */
    static ValueType<String> string(String pattern, String allowed) {
        return new ValueType<>(allowed, value -> value instanceof String s && s.matches(pattern) ? s : null);
    }

    /** Returns the type of integers from {@code min} to {@code max}. */
    static ValueType<Long> integer(long min, long max) {
        return new ValueType<>("a whole number from " + min + " to " + max, value -> {
            Long number =
                    value instanceof EnvironmentValue variable ? variable.toLong() : value instanceof Long l ? l : null;
            return number != null && number >= min && number <= max ? number : null;
        });
    }

    /** Returns the type of numbers from {@code min} to {@code max}. */
    static ValueType<Double> number(double min, double max) {
        return new ValueType<>("a number from " + min + " to " + max, value -> {
            Double number = toDouble(value);
            return number != null && number >= min && number <= max ? number : null;
        });
    }

    private static Double toDouble(Object value) {
        if (value instanceof EnvironmentValue variable) {
            return variable.toDouble();
        }
        return value instanceof Number number ? Double.valueOf(number.doubleValue()) : null;
    }

    /** Returns the type of the values true and false. */
    static ValueType<Boolean> bool() {
        return new ValueType<>("true or false", value -> {
            if (value instanceof EnvironmentValue variable) {
                return variable.toBoolean();
            }
            return value instanceof Boolean b ? b : null;
        });
    }

    /** Returns the type of durations with a unit, such as {@code "250ms"}, which are converted to microseconds. */
    static ValueType<Long> durationUs(long minUs, long maxUs) {
        String allowed =
                "a duration in quotes with the unit us, ms, s, m or h, from \"" + minUs + "us\" to \"" + maxUs + "us\"";
        return new ValueType<>(allowed, value -> {
            Matcher parts = DURATION.matcher(value instanceof String s ? s : "");
            if (!parts.matches()) {
                return null;
            }
            double us = Double.parseDouble(parts.group(1)) * MICROS_PER_UNIT.get(parts.group(2));
            return us >= minUs && us <= maxUs ? Long.valueOf(Math.round(us)) : null;
        });
    }

    /** Returns the type of the constants of an enum, written in lower case with hyphens for underscores. */
    static <E extends Enum<E>> ValueType<E> constantOf(Class<E> type) {
        List<E> constants = List.of(type.getEnumConstants());
        String names = constants.stream().map(ValueType::externalName).collect(Collectors.joining(", "));
        return new ValueType<>(
                "one of " + names,
                value -> constants.stream()
                        .filter(constant -> externalName(constant).equals(value))
                        .findFirst()
                        .orElse(null));
    }

    private static String externalName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the type of numeric IPv4 addresses with a port; host names are not resolved. */
    static ValueType<InetSocketAddress> address() {
        return new ValueType<>("an address and port, such as \"127.0.0.1:8443\"", ValueType::parseAddress);
    }

    private static InetSocketAddress parseAddress(Object value) {
        Matcher parts = ADDRESS.matcher(value instanceof String s ? s : "");
        if (!parts.matches()) {
            return null;
        }
        String host = parts.group(1);
        int port = Integer.parseInt(parts.group(2));
        boolean hasValidOctets = Stream.of(host.split("\\.")).allMatch(octet -> Integer.parseInt(octet) <= MAX_OCTET);
        return port <= MAX_PORT && hasValidOctets ? new InetSocketAddress(host, port) : null;
    }

    /** Returns the type of lists of numeric IPv4 addresses with ports. */
    static ValueType<List<InetSocketAddress>> addresses() {
        return new ValueType<>("a list of addresses and ports, such as [\"127.0.0.1:7946\"]", value -> {
            if (!(value instanceof TomlArray array)) {
                return null;
            }
            List<InetSocketAddress> addresses = array.toList().stream()
                    .map(ValueType::parseAddress)
                    .filter(Objects::nonNull)
                    .toList();
            return addresses.size() == array.size() ? addresses : null;
        });
    }

    /** Returns the type of lists of strings that each match a pattern. */
    static ValueType<List<String>> strings(String pattern, String allowed) {
        return new ValueType<>("a list of strings, each " + allowed, value -> {
            if (!(value instanceof TomlArray array)) {
                return null;
            }
            List<Object> items = array.toList();
            return items.stream().allMatch(item -> item instanceof String s && s.matches(pattern))
                    ? items.stream().map(String.class::cast).toList()
                    : null;
        });
    }
}
