package reedquay.net;

import java.util.function.BiFunction;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Settings;

/**
 * The replaceable parts of a gateway. engineFactory: creates the routing engine, with any stages before it;
 * clientIdentifier: how clients are identified, null where only their tenants are.
 */
public record GatewayComponents(BiFunction<Settings, RoutingActions, RoutingEngine> engineFactory,
        ClientIdentifier clientIdentifier) { }
