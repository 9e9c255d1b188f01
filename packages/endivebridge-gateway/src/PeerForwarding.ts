import { monotonicMillis } from "@endivebridge/shared";
import type { LiveMember, MemberRecord, Members, Route } from "@endivebridge/traffic";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Dialect } from "./Dialect";
import { type Exchange, type ServerAnswer, startExchange } from "./Exchange";
import { type FinalAnswerKind, finalAnswers } from "./FinalAnswers";
import { forwardedRequestHeader, forwardedResultHeader } from "./PeerHeaders";
import type { RoutedRequest } from "./RunRequest";
import { ServerConnections } from "./ServerConnections";

/** What the forwarding instance knows of a request beyond the message itself. */
export interface ForwardedRequest {
    readonly sinceFirstAttemptMillis: number;
    /** Sends of the forwarding instance that may have reached a backend server. */
    readonly sends: number;
    readonly configurationVersion: number;
}

/** A request on its way over a peer. */
export interface ForwardedExchange extends Exchange {
    readonly peer: string;
}

/** Deadline, earlier sends and peers to leave out of one forwarding. */
export interface ForwardOptions {
    readonly deadlineMillis: number;
    readonly sends: number;
    readonly excludedPeers: ReadonlySet<string>;
}

/** Sends requests to backend servers by way of peers that reach them. */
export interface PeerForwarding {
    /** Forwards a request to the best peer; undefined if no peer can take it. */
    readonly start: (routed: RoutedRequest, options: ForwardOptions) => ForwardedExchange | undefined;
}

/** Location, members and randomness that forwarding uses. */
export interface PeerForwardingParts {
    readonly own: MemberRecord;
    readonly dialect: Dialect;
    readonly members: Pick<Members, "reaching">;
    /** Random number in [0, 1) that selects among equally loaded peers. */
    readonly random: () => number;
}

/** Requests in flight over one peer; those of lower priority leave part of it free. */
const maxInFlightPerPeer = 64;
const priorityStep = 0.25;
const maxConnectionsPerPeer = 128;
const maxIdleMillis = 2_000;
const maxIdleRemoteMillis = 6_000;
const connectTimeoutMillis = 400;
const remoteConnectTimeoutMillis = 700;

function maxInFlight({ priority }: Route): number {
    return maxInFlightPerPeer / (1 + Math.max(0, priority) * priorityStep);
}

/** Creates the forwarding of one instance. */
export function makePeerForwarding({ own, dialect, members, random }: PeerForwardingParts): PeerForwarding {
    const inFlight = new Map<string, number>();
    const connections = new Map<string, ServerConnections>();

    const connectionsTo = ({ name, host, peerPort, region }: MemberRecord): ServerConnections => {
        const key = `${name} ${host}:${peerPort}`;
        let known = connections.get(key);
        if (known === undefined) {
            known = new ServerConnections(
                maxConnectionsPerPeer,
                region === own.region ? maxIdleMillis : maxIdleRemoteMillis
            );
            connections.set(key, known);
        }
        return known;
    };

    /** The least used peer of the own region that reaches the service, otherwise of the other regions. */
    const choosePeer = (
        { route, service }: RoutedRequest,
        excludedPeers: ReadonlySet<string>
    ): LiveMember | undefined => {
        const { homeRegions } = route;
        const useOf = ({ record }: LiveMember) => inFlight.get(record.name) ?? 0;
        const usable = members.reaching(service.name, monotonicMillis()).filter(member =>
            !excludedPeers.has(member.record.name) && useOf(member) < maxInFlight(route)
            && (homeRegions.length === 0 || homeRegions.includes(member.record.region))
        );
        const near = usable.filter(({ record }) => record.region === own.region);
        const candidates = near.length > 0 ? near : usable;
        const leastUse = Math.min(...candidates.map(useOf));
        const leastUsed = candidates.filter(member => useOf(member) === leastUse);
        return leastUsed[Math.floor(random() * leastUsed.length)];
    };

    return {
        start: (routed, { deadlineMillis, sends, excludedPeers }) => {
            const peer = choosePeer(routed, excludedPeers);
            if (peer === undefined) {
                return undefined;
            }
            const { request, sinceFirstAttemptMillis, configurationVersion } = routed;
            const { name, host, peerPort, region } = peer.record;
            const exchange = startExchange(dialect, {
                host,
                port: peerPort,
                connections: connectionsTo(peer.record),
                method: request.method,
                path: request.target,
                headers: {
                    ...request.headers,
                    ...request.body.length > 0 ? { "content-length": String(request.body.length) } : {},
                    [dialect.deadlineHeader]: String(Math.max(1, Math.floor(deadlineMillis - monotonicMillis()))),
                    [forwardedRequestHeader]: encodeForwarded(
                        peer.incarnation,
                        { sinceFirstAttemptMillis, sends, configurationVersion }
                    )
                },
                body: request.body,
                requestId: request.id,
                connectTimeoutMillis: region === own.region ? connectTimeoutMillis : remoteConnectTimeoutMillis
            });
            inFlight.set(name, (inFlight.get(name) ?? 0) + 1);
            void exchange.outcome.then(() => inFlight.set(name, (inFlight.get(name) ?? 1) - 1));
            return { ...exchange, peer: name };
        }
    };
}

/** The peer's incarnation, which only instances learn, shows that the sender is one of them. */
function encodeForwarded(peerIncarnation: string, forwarded: ForwardedRequest): string {
    const { sinceFirstAttemptMillis, sends, configurationVersion } = forwarded;
    return [peerIncarnation, Math.round(sinceFirstAttemptMillis), sends, configurationVersion].join(" ");
}

/** Decodes what a peer says of a request; undefined unless the message names this instance's own incarnation. */
export function readForwardedRequest(message: IncomingMessage, ownIncarnation: string): ForwardedRequest | undefined {
    const text = message.headers[forwardedRequestHeader];
    const [incarnation, ...numbers] = typeof text === "string" ? text.split(" ") : [];
    const [sinceFirstAttemptMillis, sends, configurationVersion] = numbers.map(Number);
    const isValid = incarnation === ownIncarnation && numbers.length === 3
        && numbers.every(number => /^\d{1,15}$/.test(number));
    return isValid
        ? {
            sinceFirstAttemptMillis: sinceFirstAttemptMillis!,
            sends: sends!,
            configurationVersion: configurationVersion!
        }
        : undefined;
}

/** Whether a message claims to be a request that an instance forwards. */
export function isForwardedRequest(message: IncomingMessage): boolean {
    return message.headers[forwardedRequestHeader] !== undefined;
}

/** Refuses a request whose sender does not name this incarnation: it is no instance, or does not know of the restart. */
export function refuseUnknownSender(dialect: Dialect, message: IncomingMessage, response: ServerResponse): void {
    const id = message.headers[dialect.requestIdHeader];
    const kind: FinalAnswerKind = "notReady";
    response.writeHead(finalAnswers[kind].status, {
        "Content-Length": 0,
        "Connection": "close",
        ...id === undefined ? {} : { [dialect.requestIdHeader]: id },
        [forwardedResultHeader]: kind
    });
    response.end();
}

/** The peer's own final answer to a forwarded request; undefined if it returns the answer of a backend server. */
export function readForwardedResult({ headers, isSigned }: ServerAnswer): FinalAnswerKind | undefined {
    const kind = headers[forwardedResultHeader];
    return typeof kind === "string" && Object.hasOwn(finalAnswers, kind)
        ? kind as FinalAnswerKind
        : isSigned
        ? undefined
        : "answerLost";
}

/** Time after which the peer asks callers to come back; undefined if it names none. */
export function readRetryAfterMillis({ headers }: ServerAnswer): number | undefined {
    const seconds = Number(headers["retry-after"] ?? NaN);
    return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1_000 : undefined;
}
