import { orderInstances, type SteeringError, steeringError } from "@endivebridge/core";
import type { RequestMemory } from "@endivebridge/shared";
import { Effect, Result, Schema } from "effect";
import type { IncomingMessage } from "node:http";
import { errorAnswer, jsonAnswer } from "./Answers";
import { readBody } from "./CallerRequest";
import type { Context } from "./Context";
import { describeInstance } from "./DescribeInstance";
import { keysMatch } from "./KeysMatch";
import { homeRegion, lookupCandidates, makeLookupQuery } from "./Lookup";
import { lookupHash } from "./LookupHash";
import { AcceptConfiguration, acceptConfiguration } from "./OperatorCommands";
import type { Peer } from "./Peer";
import type { Answer } from "./SteeringRequest";

const describeTimeoutMillis = 1_500;
const maxCommandBytes = 4 * 1_048_576;

function bearerToken(incoming: IncomingMessage): string {
    return (incoming.headers.authorization ?? "").replace(/^Bearer /, "");
}

interface PeerDescription {
    readonly instance: string;
    readonly text: string | undefined;
}

const describePeer = (
    peer: Peer,
    eventsAfter: number | undefined,
    responseField: "instance" | "events"
): Effect.Effect<PeerDescription> =>
    Effect.tryPromise(signal => peer.client.describe({ eventsAfter }, { signal, timeoutMs: describeTimeoutMillis }))
        .pipe(
            Effect.map(answer => ({ instance: peer.instance, text: answer[responseField] })),
            Effect.catch(() => Effect.succeed({ instance: peer.instance, text: undefined }))
        );

/**
 * Collects the state reports of this instance and all its peers. Peers that could not be reached are listed with the
 * time since the last contact.
 */
const describeSystem = (context: Context) =>
    Effect.gen(function*() {
        const peers = [...context.peers.values()];
        const answers = yield* Effect.forEach(peers, peer => describePeer(peer, undefined, "instance"), {
            concurrency: "unbounded"
        });
        const peerDescriptions = answers.flatMap(description =>
            description.text === undefined ? [] : [JSON.parse(description.text) as unknown]
        );
        const unreachable = answers.filter(description => description.text === undefined).map(description => ({
            instance: description.instance,
            heardMillisAgo: Math.round(
                performance.now() - (context.peers.get(description.instance)?.lastContactAtMillis ?? 0)
            )
        }));
        return { instances: [describeInstance(context), ...peerDescriptions], unreachable };
    });

const collectEvents = (context: Context, after: number) =>
    Effect.gen(function*() {
        const peers = [...context.peers.values()];
        const answers = yield* Effect.forEach(peers, peer => describePeer(peer, after, "events"), {
            concurrency: "unbounded"
        });
        const peerEvents = answers.flatMap(description =>
            description.text === undefined ? [] : JSON.parse(description.text) as unknown[]
        );
        const unreachable = answers.filter(description => description.text === undefined).map(each => each.instance);
        return { events: [...context.timeLine.after(after), ...peerEvents], unreachable };
    });

function explainLookup(context: Context, url: URL) {
    const service = url.searchParams.get("service") ?? "";
    const client = url.searchParams.get("client") ?? "";
    const candidates = lookupCandidates(context, service);
    const lookupQuery = makeLookupQuery(context, service, client);
    const chosen = orderInstances(candidates, lookupQuery, lookupHash).map(candidate => candidate.instance);
    const passedOver = candidates.filter(candidate => !chosen.includes(candidate.instance)).map(each => ({
        instance: each.instance,
        reason: each.leaving ? "leaving" : !each.isReachable ? "not reachable from here" : "ranked lower"
    }));
    const clientRegion = homeRegion(context, client);
    return { service, client, homeRegion: clientRegion, steeredTo: lookupQuery.homeRegion, chosen, passedOver };
}

const runCommand = (
    context: Context,
    incoming: IncomingMessage,
    memory: RequestMemory
): Effect.Effect<Answer, SteeringError> =>
    Effect.gen(function*() {
        const contentLength = incoming.headers["content-length"];
        const body = yield* readBody(
            incoming,
            { contentLength, chunked: contentLength === undefined },
            maxCommandBytes,
            memory
        );
        const decoded = Schema.decodeUnknownResult(Schema.fromJsonString(AcceptConfiguration))(body.toString());
        if (Result.isFailure(decoded)) {
            return yield* Effect.fail(steeringError("badRequest", String(decoded.failure).slice(0, 400)));
        }
        const outcome = yield* acceptConfiguration(context, decoded.success);
        const failed = outcome.outcome === "unavailable" ? 503 : 409;
        return jsonAnswer(outcome.outcome === "accepted" || outcome.outcome === "valid" ? 200 : failed, outcome);
    });

function handleQuery(context: Context, name: string, url: URL): Effect.Effect<Answer, SteeringError> {
    switch (name) {
        case "operator/instance":
            return Effect.succeed(jsonAnswer(200, describeInstance(context)));
        case "operator/system":
            return Effect.map(describeSystem(context), system => jsonAnswer(200, system));
        case "operator/configuration": {
            const configuration = context.configuration.read();
            return Effect.succeed(
                jsonAnswer(200, { version: configuration?.version ?? 0, text: configuration?.text ?? "" })
            );
        }
        case "operator/events":
            return Effect.map(
                collectEvents(context, Number(url.searchParams.get("after") ?? 0)),
                collected => jsonAnswer(200, collected)
            );
        case "operator/explain-lookup":
            return Effect.succeed(jsonAnswer(200, explainLookup(context, url)));
        default:
            return Effect.fail(steeringError("badRequest", "no such end point"));
    }
}

/** Handles a request to the operator API; every request must present the operator key. */
export function handleOperatorRequest(
    context: Context,
    incoming: IncomingMessage,
    name: string,
    memory: RequestMemory
): Effect.Effect<Answer> {
    if (!keysMatch(bearerToken(incoming), context.settings.keys.operator)) {
        return Effect.succeed(errorAnswer(steeringError("unauthorized"), ""));
    }
    const url = new URL(incoming.url ?? "/", "http://instance");
    const answer = name === "operator/command" && incoming.method === "POST"
        ? runCommand(context, incoming, memory)
        : handleQuery(context, name, url);
    return Effect.catch(answer, error => Effect.succeed(errorAnswer(error, "")));
}
