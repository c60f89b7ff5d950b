package tansypass.testbed.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The endpoint list of discovery, without sockets. Each change makes a new revision, and all watchers are notified of
 * revisions in order. While discovery is silent, the list still changes; watchers are notified of these changes when
 * the silence ends. Not thread-safe.
 */
public final class EndpointRegistry {

    /** The lifecycle state of a server, as the discovery protocol names it. */
    public enum State {
        READY,
        TERMINATING,
        GONE
    }

    /**
     * The entry of one server.
     *
     * @param bootMs the start of the server in Unix milliseconds; 0 if it started before the run
     * @param revision the revision of the list in which this entry last changed
     */
    public record Entry(String name, int number, State state, long bootMs, long revision) {}

    /**
     * A notification to a watcher.
     *
     * @param isSnapshot true if the entries are the complete list, false if they are only the changed ones
     */
    public record WatchEvent(long revision, boolean isSnapshot, List<Entry> entries) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Entry> publishedEntries = new LinkedHashMap<>();
    private final List<Consumer<WatchEvent>> watchers = new ArrayList<>();
    private long revision;
    private long publishedRevision;
    private boolean isSilent;

    /** Adds a server, or replaces its entry. */
    public void put(String name, int number, State state, long bootMs) {
        entries.put(name, new Entry(name, number, state, bootMs, ++revision));
        publish();
    }

    /** Changes the state of a server, which has to be in the list. */
    public void setState(String name, State state) {
        Entry old = entries.get(name);
        put(name, old.number, state, old.bootMs);
    }

    /** Returns the complete list, without servers that are gone. */
    public WatchEvent snapshot() {
        return new WatchEvent(
                revision,
                true,
                entries.values().stream().filter(e -> e.state != State.GONE).toList());
    }

    /** Returns the last published list, including servers that are gone; a starting node begins with this list. */
    public List<Entry> lastPublished() {
        return List.copyOf(publishedEntries.values());
    }

    /** Returns the entries that changed after the given revision. */
    public WatchEvent changesSince(long baseRevision) {
        return new WatchEvent(
                revision,
                false,
                entries.values().stream().filter(e -> e.revision > baseRevision).toList());
    }

    /** Adds a watcher, which is notified of all changes from now on. */
    public void addWatcher(Consumer<WatchEvent> watcher) {
        watchers.add(watcher);
    }

    /** Removes a watcher. */
    public void removeWatcher(Consumer<WatchEvent> watcher) {
        watchers.remove(watcher);
    }

    /** Returns whether changes are currently withheld from watchers. */
    public boolean isSilent() {
        return isSilent;
    }

    /** Starts to withhold changes from watchers, or publishes the withheld changes and all later ones. */
    public void setSilent(boolean silent) {
        isSilent = silent;
        publish();
    }

    private void publish() {
        if (!isSilent && publishedRevision < revision) {
            WatchEvent event = changesSince(publishedRevision);
            publishedRevision = revision;
            publishedEntries.putAll(entries);
            new ArrayList<>(watchers).forEach(watcher -> watcher.accept(event));
        }
    }
}
