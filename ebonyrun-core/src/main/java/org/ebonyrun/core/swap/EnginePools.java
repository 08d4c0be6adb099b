package org.ebonyrun.core.swap;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.ebonyrun.core.fleet.Endpoint;

/**
 * Divides the engines of a service among the models that they serve.
 *
 * <p>If several trainers each name a new version every few seconds, engines that load every model
 * spend most of their time loading. A model's pool therefore has only {@code (lag + 1) / models} of
 * the engines. Each of them loads one version in {@code lag + 1}, so about one engine in {@code
 * models} loads for each named version.
 *
 * <p>The pools of models that are adjacent in the order of their names overlap, so that each engine
 * is in about {@code lag + 1} pools. Pools change little when an engine is added or removed.
 *
 * <p>Stateless and thread safe.
 */
final class EnginePools {
    private EnginePools() {}

    /**
     * Returns the engines that load a model's versions.
     *
     * @param engines all serving engines
     * @param lag the number of versions by which samples may be behind the newest one
     */
    static List<Endpoint> poolFor(List<Endpoint> engines, String model, int lag) {
        TreeSet<String> models = new TreeSet<>();
        engines.forEach(engine -> models.addAll(engine.models()));
        int index = models.headSet(model).size();
        int count = engines.size();
        int poolSize = poolSize(count, models.size(), lag);
        if (poolSize >= count) {
            return new ArrayList<>(engines);
        }
        List<Endpoint> ordered = new ArrayList<>(engines);
        ordered.sort(Comparator.comparing(Endpoint::id));
        int first = index * count / models.size();
        List<Endpoint> pool = new ArrayList<>();
        for (int i = 0; i < poolSize; i++) {
            pool.add(ordered.get((first + i) % count));
        }
        return pool;
    }

    private static int poolSize(int engines, int models, int lag) {
        int share = (int) Math.ceil((lag + 1.0) * engines / Math.max(1, models));
        return Math.min(engines, Math.max(1, share));
    }
}
