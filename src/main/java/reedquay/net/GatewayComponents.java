package reedquay.net;

import java.util.function.BiFunction;
import reedquay.core.RoutingEngine;
import reedquay.core.RoutingActions;
import reedquay.core.Settings;

/** What a gateway is made of beside its configuration: the decisions with what stands before them, who is a client. */
public record GatewayComponents(BiFunction<Settings, RoutingActions, RoutingEngine> deciderFactory, ClientIdentifier clientIdentifier) { }
