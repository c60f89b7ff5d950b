package tansypass.platform;

import java.util.Map;
import java.util.Optional;
import tansypass.balancer.BalancerSettings;

/**
 * Settings in the format of the simulator's handshake: pairs of a path and a value. For a list of objects such as
 * {@code classes}, {@code classes.count} is the number of items, and {@code classes.0.name} is a value of the first
 * item. Not thread-safe.
 */
public final class HandshakeSettings extends SettingsObject {
    private final Map<String, String> values;
    /** Path of this object, ending with a dot; empty for the root. */
    private final String prefix;

    private HandshakeSettings(Map<String, String> values, String prefix) {
        this.values = values;
        this.prefix = prefix;
    }

    /**
     * Reads the load balancer's settings from the pairs of a handshake.
     *
     * @throws InvalidValueException if a value is missing or invalid; the message names its path
     */
    public static BalancerSettings read(Map<String, String> values) throws InvalidValueException {
        return SettingsReader.read(new HandshakeSettings(values, ""));
    }

    @Override
    Optional<String> findText(String key) {
        return Optional.ofNullable(values.get(prefix + key));
    }

    @Override
    SettingsObject getSection(String key) {
        return new HandshakeSettings(values, prefix + key + ".");
    }

    @Override
    int countItems(String key) throws InvalidValueException {
        return (int) getSection(key).getLong("count", 0);
    }

    @Override
    SettingsObject getItem(String key, int index) {
        return getSection(key).getSection(Integer.toString(index));
    }

    @Override
    String formatPath(String key) {
        return prefix + key;
    }
}
