package tansypass.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tansypass.config.InvalidConfigException;
import tansypass.config.NodeFile;
import tansypass.node.configuration.ConfigSource;
import tansypass.node.configuration.InvalidNodeConfigException;
import tansypass.node.configuration.NodeConfig;

/**
 * Reloads the configuration file of a running node. Applies the values that may change at runtime, and logs the changed
 * keys that need a restart. Thread-safe.
 */
final class ConfigReloader implements ConfigSource {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigReloader.class);

    private final String file;
    private final Map<String, String> environment;
    private NodeFile current;

    /** Creates a reloader for a node that starts with {@code initial}. */
    ConfigReloader(String file, Map<String, String> environment, NodeFile initial) {
        this.file = file;
        this.environment = environment;
        current = initial;
    }

    /** Returns the current configuration without reading the file. */
    @Override
    public synchronized NodeConfig load() {
        return NodeFileConverter.toNodeConfig(current);
    }

    /** Reads the file again; if the file is invalid, the previous configuration stays current. */
    @Override
    public synchronized NodeConfig reload() throws InvalidNodeConfigException {
        NodeFile loaded = readFile();
        List<String> keysNeedingRestart = findKeysNeedingRestart(current, loaded);
        if (!keysNeedingRestart.isEmpty()) {
            LOG.atWarn()
                    .addKeyValue("event", "reload.needs-restart")
                    .addKeyValue("keys", String.join(",", keysNeedingRestart))
                    .log("changed keys need a restart");
        }
        Logs.setLevel(loaded.log().level());
        current = loaded;
        LOG.atInfo()
                .addKeyValue("event", "reload.taken")
                .addKeyValue("file", file)
                .log("configuration file reloaded");
        return NodeFileConverter.toNodeConfig(loaded);
    }

    private NodeFile readFile() throws InvalidNodeConfigException {
        try {
            return NodeFile.read(file, environment);
        } catch (InvalidConfigException e) {
            throw new InvalidNodeConfigException(e.getMessage(), e);
        }
    }

    /** Returns the keys that differ and take effect only at the next start. */
    static List<String> findKeysNeedingRestart(NodeFile old, NodeFile changed) {
        List<String> keys = new ArrayList<>();
        addIfChanged(keys, "node.name", old.name(), changed.name());
        addIfChanged(keys, "node.listen", old.listen(), changed.listen());
        addIfChanged(keys, "node.admin", old.admin(), changed.admin());
        addIfChanged(keys, "node.zone", old.zone(), changed.zone());
        addIfChanged(keys, "node.sockets", old.maxDescriptors(), changed.maxDescriptors());
        addIfChanged(keys, "node.seed", old.seed(), changed.seed());
        addIfChanged(keys, "servers", old.servers(), changed.servers());
        addIfChanged(keys, "service, classes or tenants", old.service(), changed.service());
        addIfChanged(keys, "fleet", old.cluster(), changed.cluster());
        addIfChanged(keys, "log.format", old.log().format(), changed.log().format());
        addIfChanged(
                keys, "log.queue", old.log().maxQueuedLines(), changed.log().maxQueuedLines());
        return keys;
    }

    private static void addIfChanged(List<String> keys, String key, Object oldValue, Object newValue) {
        if (!Objects.equals(oldValue, newValue)) {
            keys.add(key);
        }
    }
}
