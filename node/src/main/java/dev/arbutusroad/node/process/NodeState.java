package dev.arbutusroad.node.process;

import dev.arbutusroad.node.configuration.ConfigurationStatus;
import dev.arbutusroad.node.datapath.DataPathState;
import java.util.Map;

/**
 * The state of a node, as written by {@code /dump}.
 *
 * @param node the id of the node from its settings
 * @param configuration the version in force, its confirmation and its last problem
 * @param membership the state of the membership agent
 * @param dataPath the state of the data path
 * @param claims the counts of claim events
 */
record NodeState(
    String node,
    ConfigurationStatus configuration,
    Map<String, Object> membership,
    DataPathState dataPath,
    Map<String, Long> claims) {}
