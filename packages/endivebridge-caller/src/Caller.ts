import { type HttpAnswer, httpExchange, type HttpFailure, monotonicMillis } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import { Agent } from "node:http";
import { makeLookupCache } from "./LookupCache";

/** How a caller is set up. */
export interface CallerOptions {
    /** `host:port` of entry instances to ask first. */
    readonly entryAddresses: readonly string[];
    /** Address that look-ups are made for; the connection's own where undefined. */
    readonly client?: string;
    readonly localAddress?: string;
    /** The address to connect to for an entry instance's address. */
    readonly connectAddress?: (address: string) => string;
    readonly connections?: number;
}

/** One request of a caller. */
export interface CallerRequest {
    readonly service: string;
    readonly method: string;
    /** Path after the service's name. */
    readonly path: string;
    /** Headers for one attempt, which counts from 1. */
    readonly headers?: (attempt: number) => Readonly<Record<string, string>>;
    readonly body?: string | Buffer;
    readonly idempotent: boolean;
    /** Told the time in milliseconds that each refusal as not run took, in all and inside the system. */
    readonly onRefusal?: (tookMillis: number, insideMillis: number) => void;
    /** Time in milliseconds within which an answer is wanted, resends included. */
    readonly deadlineMillis: number;
}

/** A whole answer of a backend server. */
export interface CallerAnswer {
    readonly answer: HttpAnswer;
    readonly attempts: number;
}

/** Why there is no answer, and whether the request ran. */
export interface CallerFailure {
    readonly kind: string;
    readonly ran: "no" | "maybe" | "yes";
    readonly attempts: number;
    /** Attempts that were told for certain that they did not run. */
    readonly attemptsNotRun: readonly number[];
}

/** Sends requests to the entry instances that look-ups name. */
export interface Caller {
    readonly send: (request: CallerRequest) => Effect.Effect<CallerAnswer, CallerFailure>;
    readonly close: () => void;
}

interface Verdict {
    readonly kind: string;
    readonly ran: "no" | "maybe" | "yes";
    readonly retry: boolean;
    readonly waitMillis: number;
}

interface Attempt {
    readonly operation: string | undefined;
    readonly address: string;
}

const connectFailurePauseMillis = 20;
const doubtPauseMillis = 100;
const shortestAttemptMillis = 300;
const readAttemptShare = 0.5;
const operationAttemptShare = 0.25;
const defaultRetryAfterMillis = 300;

function asRan(text: unknown): "no" | "maybe" | "yes" {
    return text === "no" || text === "yes" ? text : "maybe";
}

function retryAfterMillis(answer: HttpAnswer): number {
    try {
        const body = JSON.parse(answer.body.toString()) as { readonly retryAfterMillis?: number; };
        return body.retryAfterMillis ?? defaultRetryAfterMillis;
    }
    catch {
        return defaultRetryAfterMillis;
    }
}

/** Reads the system's error from an answer; undefined when a backend server answered. */
function errorOf(answer: HttpAnswer): Verdict | undefined {
    const kind = answer.headers["endivebridge-error"];
    if (kind === undefined) {
        return undefined;
    }
    return {
        kind: String(kind),
        ran: asRan(answer.headers["endivebridge-ran"]),
        retry: answer.headers["endivebridge-retry"] === "yes",
        waitMillis: retryAfterMillis(answer)
    };
}

function transportVerdict(failure: HttpFailure): Verdict {
    return failure.sent
        ? { kind: "connectionLost", ran: "maybe", retry: true, waitMillis: doubtPauseMillis }
        : { kind: "unreachable", ran: "no", retry: true, waitMillis: connectFailurePauseMillis };
}

function insideMillis(result: Result.Result<HttpAnswer, HttpFailure>): number {
    return Result.isSuccess(result) ? Number(result.success.headers["endivebridge-wait-millis"] ?? 0) : 0;
}

/** Closes connections that wait for use: where one was lost, others to the same address may be silent. */
function dropIdle(agent: Agent, address: string): void {
    for (const [name, sockets] of Object.entries(agent.freeSockets)) {
        if (name.startsWith(`${address}:`)) {
            sockets?.forEach(socket => socket.destroy());
        }
    }
}

/** Makes a caller. */
export function makeCaller(options: CallerOptions): Caller {
    const agent = new Agent({ keepAlive: true, maxSockets: options.connections ?? 64, timeout: 4_000 });
    const connectAddress = options.connectAddress ?? (address => address);
    const lookups = makeLookupCache({
        entryAddresses: options.entryAddresses,
        client: options.client,
        agent,
        localAddress: options.localAddress,
        timeoutMillis: 1_000,
        connectAddress
    });
    const avoidedUntilMillis = new Map<string, number>();
    let counter = 0;

    const sendOnce = (request: CallerRequest, target: Attempt, attempt: number, deadlineAtMillis: number) => {
        const remainingMillis = Math.max(1, Math.floor(deadlineAtMillis - monotonicMillis()));
        // One silent connection must not use up the whole deadline. A resent operation joins the run that goes on; a
        // resent read is work done twice, so it waits longer.
        const share = request.idempotent ? readAttemptShare : operationAttemptShare;
        const timeoutMillis = Math.min(
            remainingMillis,
            Math.max(shortestAttemptMillis, request.deadlineMillis * share)
        );
        return httpExchange({
            url: new URL(`http://${connectAddress(target.address)}/${request.service}${request.path}`),
            method: request.method,
            agent,
            localAddress: options.localAddress,
            timeoutMillis,
            headers: {
                ...request.headers?.(attempt),
                "endivebridge-deadline-millis": String(remainingMillis),
                ...(target.operation === undefined ? {} : { "endivebridge-operation": target.operation })
            },
            body: request.body
        });
    };

    const chooseTarget = (request: CallerRequest, attempt: number, doubtful: Attempt | undefined) =>
        Effect.gen(function*() {
            const found = yield* lookups.get(request.service);
            const nowMillis = monotonicMillis();
            const usable = found.instances.filter(each => (avoidedUntilMillis.get(each.address) ?? 0) <= nowMillis);
            const instances = usable.length > 0 ? usable : found.instances;
            if (doubtful !== undefined) {
                const other = instances.find(each => each.address !== doubtful.address);
                const address = attempt % 2 === 0 ? doubtful.address : other?.address ?? doubtful.address;
                return { operation: doubtful.operation, address };
            }
            const next = instances[(attempt - 1) % instances.length]!;
            if (request.idempotent) {
                return { operation: undefined, address: next.address };
            }
            counter += 1;
            return { operation: `${next.operationPrefix}.${counter}`, address: next.address };
        });

    const send = (request: CallerRequest): Effect.Effect<CallerAnswer, CallerFailure> =>
        Effect.gen(function*() {
            const deadlineAtMillis = monotonicMillis() + request.deadlineMillis;
            const notRun: number[] = [];
            let doubtful: Attempt | undefined;
            let last: Verdict = { kind: "unreachable", ran: "no", retry: true, waitMillis: 0 };
            let attempt = 0;
            while (monotonicMillis() < deadlineAtMillis) {
                attempt += 1;
                const chosen = yield* Effect.result(chooseTarget(request, attempt, doubtful));
                if (Result.isFailure(chosen)) {
                    yield* Effect.sleep(doubtPauseMillis);
                    continue;
                }
                const target = chosen.success;
                const sentAtMillis = monotonicMillis();
                const result = yield* Effect.result(sendOnce(request, target, attempt, deadlineAtMillis));
                const verdict = Result.isSuccess(result) ? errorOf(result.success) : transportVerdict(result.failure);
                if (Result.isSuccess(result) && verdict === undefined) {
                    return { answer: result.success, attempts: attempt };
                }
                last = verdict!;
                if (Result.isFailure(result)) {
                    avoidedUntilMillis.set(target.address, monotonicMillis() + 1_000);
                    lookups.expire(request.service);
                    dropIdle(agent, connectAddress(target.address));
                }
                if (last.ran === "no") {
                    notRun.push(attempt);
                    request.onRefusal?.(monotonicMillis() - sentAtMillis, insideMillis(result));
                }
                else if (!request.idempotent) {
                    doubtful ??= target;
                }
                if (!last.retry) {
                    break;
                }
                if (last.kind === "shuttingDown" || last.kind === "notReady") {
                    avoidedUntilMillis.set(target.address, monotonicMillis() + 1_000);
                    lookups.expire(request.service);
                    yield* Effect.sleep(connectFailurePauseMillis);
                    continue;
                }
                yield* Effect.sleep(Math.min(last.waitMillis, Math.max(0, deadlineAtMillis - monotonicMillis())));
            }
            const ran = doubtful === undefined ? last.ran : last.ran === "yes" ? "yes" : "maybe";
            return yield* Effect.fail({ kind: last.kind, ran, attempts: attempt, attemptsNotRun: notRun });
        });

    return { send, close: () => agent.destroy() };
}
