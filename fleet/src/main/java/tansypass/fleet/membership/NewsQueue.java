package tansypass.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * News to be passed on with probes, the least passed on first (SWIM, section 4.1). It holds one piece a name,
 * so it is bounded by the view.
 */
final class NewsQueue {
    private final Map<String, Item> items = new LinkedHashMap<>();
    private final double spread;

    private static final class Item {
        private final Member news;
        private int passedOn;

        Item(Member news) {
            this.news = news;
        }
    }

    NewsQueue(double spread) {
        this.spread = spread;
    }

    /** In place of what was said of the same name before. */
    void add(Member news) {
        items.remove(news.identity().name());
        items.put(news.identity().name(), new Item(news));
    }

    int size() {
        return items.size();
    }

    /**
     * Takes what fits into so many bytes, and counts it as passed on.
     *
     * @param first goes before all else if it is not null, whether it is queued or not
     * @param fleet members of the view
     */
    List<Member> take(int bytes, Member first, int fleet, ToIntFunction<Member> size) {
        List<Member> taken = new ArrayList<>();
        int left = bytes;
        if (first != null) {
            taken.add(first);
            left -= size.applyAsInt(first);
        }
        int most = (int) Math.ceil(spread * Math.log10(fleet + 1.0));
        List<Item> byCount = new ArrayList<>(items.values());
        byCount.sort(Comparator.comparingInt(item -> item.passedOn));
        for (Item item : byCount) {
            int needed = size.applyAsInt(item.news);
            if (needed <= left && item.news != first) {
                left -= needed;
                taken.add(item.news);
                if (++item.passedOn >= most) {
                    items.remove(item.news.identity().name());
                }
            }
        }
        return taken;
    }
}
