package tansypass.platform;

import java.util.Map;
import java.util.Optional;
import tansypass.balancer.BalancerSettings;

/**
 * Settings in the form of the simulator's handshake: pairs of path and value. A list of objects has its length under
 * {@code classes.count} and the values of its items under {@code classes.0.name} and so on. Not thread-safe.
 */
public final class HandshakeSettings extends SettingsObject {
    private final Map<String, String> values;
    /** Path of this object with a final dot; empty for the outermost one. */
    private final String prefix;

    private HandshakeSettings(Map<String, String> values, String prefix) {
        this.values = values;
        this.prefix = prefix;
    }

    /**
     * Reads the balancer's settings from the pairs of a handshake.
     *
     * @throws InvalidValueException naming the path whose value is missing or invalid
     */
    public static BalancerSettings read(Map<String, String> values) throws InvalidValueException {
        return SettingsReader.read(new HandshakeSettings(values, ""));
    }

    @Override
    Optional<String> findText(String key) {
        return Optional.ofNullable(values.get(prefix + key));
    }

    @Override
    SettingsObject section(String key) {
        return new HandshakeSettings(values, prefix + key + ".");
    }

    @Override
    int countItems(String key) throws InvalidValueException {
        return (int) section(key).getLong("count", 0);
    }

    @Override
    SettingsObject item(String key, int index) {
        return section(key).section(Integer.toString(index));
    }

    @Override
    String path(String key) {
        return prefix + key;
    }
}
