package org.teaseltrestle.node;

import dagger.Component;
import jakarta.inject.Singleton;

/** Object graph of a node. */
@Singleton
@Component(modules = NodeModule.class)
interface NodeComponent {

  NodeProcess process();
}
