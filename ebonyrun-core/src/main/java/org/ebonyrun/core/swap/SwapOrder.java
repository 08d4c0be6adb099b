package org.ebonyrun.core.swap;

/**
 * An order to an engine to load a weight version.
 *
 * @param endpoint the endpoint's ID
 * @param model the model
 * @param version the version to load
 * @param mode what happens to running requests
 * @param fence the planner's fencing token
 * @param expectedOrders the number of orders that the endpoint must have accepted before this one;
 *     it rejects the order if its count differs, for example because the order is late
 */
public record SwapOrder(
        String endpoint,
        String model,
        int version,
        SwapMode mode,
        long fence,
        long expectedOrders) {}
