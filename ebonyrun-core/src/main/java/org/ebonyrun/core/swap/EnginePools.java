package org.ebonyrun.core.swap;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.ebonyrun.core.fleet.Endpoint;

/**
 * Divides the engines of a service among the models that they serve.
 *
 * <p>Answers the load of several trainers that each name a version every few seconds: if every
 * engine loaded every model, engines would spend most of their time loading. A model gets so many
 * engines that about as many load for each named version as there are engines for one model.
 *
 * <p>Stateless and thread safe. The pools of neighbouring models overlap, so that each engine is in
 * about as many pools as a trainer accepts versions; they move little when an engine comes or goes.
 */
final class EnginePools {
    private EnginePools() {}

    /**
     * Returns the engines that a model runs on.
     *
     * @param engines the engines that serve
     * @param lag how many versions before the newest the model's trainer accepts
     */
    static List<Endpoint> poolFor(List<Endpoint> engines, String model, int lag) {
        TreeSet<String> models = new TreeSet<>();
        engines.forEach(engine -> models.addAll(engine.models()));
        int index = models.headSet(model).size();
        int count = engines.size();
        int size = size(count, models.size(), lag);
        if (size >= count) {
            return new ArrayList<>(engines);
        }
        List<Endpoint> ordered = new ArrayList<>(engines);
        ordered.sort(Comparator.comparing(Endpoint::id));
        int first = index * count / models.size();
        List<Endpoint> pool = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            pool.add(ordered.get((first + i) % count));
        }
        return pool;
    }

    private static int size(int engines, int models, int lag) {
        int share = (int) Math.ceil((lag + 1.0) * engines / Math.max(1, models));
        return Math.min(engines, Math.max(1, share));
    }
}
