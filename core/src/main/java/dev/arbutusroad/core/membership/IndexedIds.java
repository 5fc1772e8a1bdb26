package dev.arbutusroad.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** A set of ids that supports selecting a random element in constant time. */
final class IndexedIds {
  private final List<String> ids = new ArrayList<>();
  private final Map<String, Integer> positions = new HashMap<>();

  void add(String id) {
    if (positions.putIfAbsent(id, ids.size()) == null) {
      ids.add(id);
    }
  }

  void remove(String id) {
    Integer position = positions.remove(id);
    if (position == null) {
      return;
    }
    String last = ids.remove(ids.size() - 1);
    if (!last.equals(id)) {
      ids.set(position, last);
      positions.put(last, position);
    }
  }

  int size() {
    return ids.size();
  }

  List<String> ids() {
    return List.copyOf(ids);
  }

  Optional<String> random(RandomGenerator random) {
    return ids.isEmpty() ? Optional.empty() : Optional.of(ids.get(random.nextInt(ids.size())));
  }
}
