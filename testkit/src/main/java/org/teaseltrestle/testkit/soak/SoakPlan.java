package org.teaseltrestle.testkit.soak;

import java.nio.file.Path;

/**
 * Settings that all seeds of a soak share.
 *
 * @param root checkout that contains the built jars
 * @param workFolder folder in which each seed gets a subfolder
 * @param nodes number of node processes in a cluster, spread over four failure domains
 * @param faultSeconds time in which faults are injected, in seconds
 */
public record SoakPlan(Path root, Path workFolder, int nodes, int faultSeconds) {}
