package org.ebonyrun.core.attempt;

/**
 * Describes a finished sample without its content.
 *
 * @param bytes the size of the content, in bytes
 * @param tokens the number of generated tokens
 * @param versions the weight versions read off the endpoint's stream
 */
public record SampleInfo(int bytes, int tokens, WeightVersions versions) {}
