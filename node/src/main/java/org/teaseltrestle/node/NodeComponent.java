package org.teaseltrestle.node;

import dagger.Component;
import jakarta.inject.Singleton;

/** Dagger component that builds the object graph of a node. */
@Singleton
@Component(modules = NodeModule.class)
interface NodeComponent {

  NodeProcess process();
}
