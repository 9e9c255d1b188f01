import { steeringError } from "@endivebridge/core";
import { Effect } from "effect";
import type { IncomingMessage } from "node:http";
import { errorAnswer, jsonAnswer } from "./Answers";
import type { Context } from "./Context";
import { isRightKey } from "./Keys";
import type { Answer } from "./SteeringRequest";

function shownKey(incoming: IncomingMessage): string {
    return (incoming.headers.authorization ?? "").replace(/^Bearer /, "");
}

function describeInstance(context: Context) {
    const configuration = context.configuration.read();
    const { usage } = { usage: process.cpuUsage() };
    return {
        instance: context.settings.instance,
        incarnation: context.incarnation,
        failureDomain: context.settings.failureDomain,
        region: context.settings.region,
        configurationVersion: configuration?.version ?? 0,
        leaseHeld: context.lease.holds(performance.now()),
        cpuMicros: usage.user + usage.system,
        residentBytes: process.memoryUsage.rss(),
        journalEntries: context.journal.size(),
        peers: [...context.peers.values()].map(peer => ({
            instance: peer.instance,
            incarnation: peer.incarnation,
            failing: peer.failing,
            leaving: peer.leaving,
            heardMillisAgo: Math.round(performance.now() - peer.heardAtMillis)
        })),
        services: [...context.services.values()].map(service => ({
            service: service.service,
            waiting: service.pool.waiting(),
            servers: service.pool.servers().map(owned => ({
                server: owned.server,
                usableSlots: owned.usableSlots,
                inFlight: owned.inFlight,
                latencyMillis: owned.latency.estimateMillis ?? 0,
                leaving: owned.leaving
            }))
        })),
        totals: context.metrics.totals()
    };
}

/** Answers an operator's call; every one needs the operators' key. */
export function answerOperator(context: Context, incoming: IncomingMessage, name: string): Effect.Effect<Answer> {
    if (!isRightKey(shownKey(incoming), context.settings.keys.operator)) {
        return Effect.succeed(errorAnswer(steeringError("unauthorized"), ""));
    }
    if (name === "operator/instance") {
        return Effect.succeed(jsonAnswer(200, describeInstance(context)));
    }
    return Effect.succeed(errorAnswer(steeringError("badRequest", "no such end point"), ""));
}
