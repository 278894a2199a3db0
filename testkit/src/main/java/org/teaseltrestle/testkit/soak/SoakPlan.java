package org.teaseltrestle.testkit.soak;

import java.nio.file.Path;

/**
 * What all seeds of a soak have in common.
 *
 * @param root checkout with the built jars
 * @param workFolder folder under which each seed has its own
 * @param nodes node processes of a cluster, spread over four failure domains
 * @param faultSeconds time in which faults are injected
 */
public record SoakPlan(Path root, Path workFolder, int nodes, int faultSeconds) {}
