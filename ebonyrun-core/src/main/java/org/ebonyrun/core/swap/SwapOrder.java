package org.ebonyrun.core.swap;

/**
 * An order to load a weight version.
 *
 * @param endpoint the id of the endpoint
 * @param model the model
 * @param version the version to load
 * @param mode what happens to runs
 * @param fence the planner's fencing token
 * @param expectedOrders how many orders the endpoint must have accepted before this one
 */
public record SwapOrder(
        String endpoint,
        String model,
        int version,
        SwapMode mode,
        long fence,
        long expectedOrders) {}
