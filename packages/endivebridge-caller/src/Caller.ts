import { httpExchange, type HttpFailure, type HttpResponse, monotonicMillis } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import { Agent } from "node:http";
import { makeLookupCache } from "./LookupCache";

/** Options of {@link makeCaller}. */
export interface CallerOptions {
    /** `host:port` of the entry instances that serve the first lookup. */
    readonly entryAddresses: readonly string[];
    /** Client address that lookups are resolved for; undefined uses the source address of the connection. */
    readonly client?: string;
    /** Local address that connections are opened from. */
    readonly localAddress?: string;
    /** Maps the advertised address of an entry instance to the address to connect to. */
    readonly resolveConnectAddress?: (address: string) => string;
    /** Maximum number of open connections per entry instance; 64 by default. */
    readonly maxConnectionsPerInstance?: number;
}

/** A request to a service, with its retry and deadline parameters. */
export interface CallerRequest {
    readonly service: string;
    readonly method: string;
    /** Path that follows the service name in the URL. */
    readonly path: string;
    /** Returns the headers of an attempt; attempts are numbered from 1. */
    readonly headers?: (attempt: number) => Readonly<Record<string, string>>;
    readonly body?: string | Buffer;
    readonly idempotent: boolean;
    /**
     * Called when an attempt is rejected without being run, with the total time of the attempt and the part of it that the
     * system reports in `endivebridge-wait-millis`, both in milliseconds.
     */
    readonly onAttemptNotRun?: (tookMillis: number, systemTimeMillis: number) => void;
    /** Time limit of the whole request in milliseconds, retries included. */
    readonly deadlineMillis: number;
}

/** Complete response of a backend server, with the number of attempts that it took. */
export interface CallerResponse {
    readonly answer: HttpResponse;
    readonly attempts: number;
}

/** Reason why a request got no response, and whether the request was run. */
export interface CallerFailure {
    readonly kind: string;
    readonly ran: "no" | "maybe" | "yes";
    readonly attempts: number;
    /** Numbers of the attempts that were definitely not run. */
    readonly attemptsNotRun: readonly number[];
}

/** Client that sends requests to the entry instances that lookups return. */
export interface Caller {
    readonly send: (request: CallerRequest) => Effect.Effect<CallerResponse, CallerFailure>;
    readonly close: () => void;
}

interface AttemptFailure {
    readonly kind: string;
    readonly ran: "no" | "maybe" | "yes";
    readonly retry: boolean;
    readonly retryDelayMillis: number;
}

interface AttemptTarget {
    readonly operation: string | undefined;
    readonly address: string;
}

const connectFailureRetryDelayMillis = 20;
const transientErrorRetryDelayMillis = 100;
const minAttemptTimeoutMillis = 300;
const idempotentTimeoutShare = 0.5;
const operationTimeoutShare = 0.25;
const defaultRetryAfterMillis = 300;

function parseRan(text: unknown): "no" | "maybe" | "yes" {
    return text === "no" || text === "yes" ? text : "maybe";
}

function parseRetryAfterMillis(answer: HttpResponse): number {
    try {
        const body = JSON.parse(answer.body.toString()) as { readonly retryAfterMillis?: number; };
        return body.retryAfterMillis ?? defaultRetryAfterMillis;
    }
    catch {
        return defaultRetryAfterMillis;
    }
}

/** Parses the error headers of a response; returns undefined when the response comes from a backend server. */
function parseSystemError(answer: HttpResponse): AttemptFailure | undefined {
    const kind = answer.headers["endivebridge-error"];
    if (kind === undefined) {
        return undefined;
    }
    return {
        kind: String(kind),
        ran: parseRan(answer.headers["endivebridge-ran"]),
        retry: answer.headers["endivebridge-retry"] === "yes",
        retryDelayMillis: parseRetryAfterMillis(answer)
    };
}

function toAttemptFailure(failure: HttpFailure): AttemptFailure {
    return failure.sent
        ? { kind: "connectionLost", ran: "maybe", retry: true, retryDelayMillis: transientErrorRetryDelayMillis }
        : { kind: "unreachable", ran: "no", retry: true, retryDelayMillis: connectFailureRetryDelayMillis };
}

function readSystemTimeMillis(result: Result.Result<HttpResponse, HttpFailure>): number {
    return Result.isSuccess(result) ? Number(result.success.headers["endivebridge-wait-millis"] ?? 0) : 0;
}

/**
 * Closes the idle pooled connections to an address. After one connection has failed, others to the same address may be
 * dead without having been closed.
 */
function closeIdleConnections(agent: Agent, address: string): void {
    for (const [name, sockets] of Object.entries(agent.freeSockets)) {
        if (name.startsWith(`${address}:`)) {
            sockets?.forEach(socket => socket.destroy());
        }
    }
}

/** Creates a caller with its own connection pool and lookup cache. */
export function makeCaller(options: CallerOptions): Caller {
    const agent = new Agent({ keepAlive: true, maxSockets: options.maxConnectionsPerInstance ?? 64, timeout: 4_000 });
    const resolveConnectAddress = options.resolveConnectAddress ?? (address => address);
    const lookups = makeLookupCache({
        entryAddresses: options.entryAddresses,
        client: options.client,
        agent,
        localAddress: options.localAddress,
        timeoutMillis: 1_000,
        resolveConnectAddress
    });
    const avoidedUntilMillis = new Map<string, number>();
    let counter = 0;

    const sendAttempt = (request: CallerRequest, target: AttemptTarget, attempt: number, deadlineAtMillis: number) => {
        const remainingMillis = Math.max(1, Math.floor(deadlineAtMillis - monotonicMillis()));
        // The timeout of an attempt is a share of the deadline, so that one unresponsive connection can't use up all of it.
        // A retried operation attaches to the execution in progress, while a retried idempotent request repeats the work,
        // so the idempotent share is larger.
        const share = request.idempotent ? idempotentTimeoutShare : operationTimeoutShare;
        const timeoutMillis = Math.min(
            remainingMillis,
            Math.max(minAttemptTimeoutMillis, request.deadlineMillis * share)
        );
        return httpExchange({
            url: new URL(`http://${resolveConnectAddress(target.address)}/${request.service}${request.path}`),
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

    const chooseTarget = (request: CallerRequest, attempt: number, uncertainTarget: AttemptTarget | undefined) =>
        Effect.gen(function*() {
            const lookupResult = yield* lookups.get(request.service);
            const nowMillis = monotonicMillis();
            const availableInstances = lookupResult.instances.filter(each =>
                (avoidedUntilMillis.get(each.address) ?? 0) <= nowMillis
            );
            const instances = availableInstances.length > 0 ? availableInstances : lookupResult.instances;
            if (uncertainTarget !== undefined) {
                const alternative = instances.find(each => each.address !== uncertainTarget.address);
                const address = attempt % 2 === 0
                    ? uncertainTarget.address
                    : alternative?.address ?? uncertainTarget.address;
                return { operation: uncertainTarget.operation, address };
            }
            const nextInstance = instances[(attempt - 1) % instances.length]!;
            if (request.idempotent) {
                return { operation: undefined, address: nextInstance.address };
            }
            counter += 1;
            return { operation: `${nextInstance.operationPrefix}.${counter}`, address: nextInstance.address };
        });

    const send = (request: CallerRequest): Effect.Effect<CallerResponse, CallerFailure> =>
        Effect.gen(function*() {
            const deadlineAtMillis = monotonicMillis() + request.deadlineMillis;
            const notRun: number[] = [];
            let uncertainTarget: AttemptTarget | undefined;
            let lastFailure: AttemptFailure = { kind: "unreachable", ran: "no", retry: true, retryDelayMillis: 0 };
            let attempt = 0;
            while (monotonicMillis() < deadlineAtMillis) {
                attempt += 1;
                const chosen = yield* Effect.result(chooseTarget(request, attempt, uncertainTarget));
                if (Result.isFailure(chosen)) {
                    yield* Effect.sleep(transientErrorRetryDelayMillis);
                    continue;
                }
                const target = chosen.success;
                const sentAtMillis = monotonicMillis();
                const result = yield* Effect.result(sendAttempt(request, target, attempt, deadlineAtMillis));
                const failure = Result.isSuccess(result)
                    ? parseSystemError(result.success)
                    : toAttemptFailure(result.failure);
                if (Result.isSuccess(result) && failure === undefined) {
                    return { answer: result.success, attempts: attempt };
                }
                lastFailure = failure!;
                if (Result.isFailure(result)) {
                    avoidedUntilMillis.set(target.address, monotonicMillis() + 1_000);
                    lookups.expire(request.service);
                    closeIdleConnections(agent, resolveConnectAddress(target.address));
                }
                if (lastFailure.ran === "no") {
                    notRun.push(attempt);
                    request.onAttemptNotRun?.(monotonicMillis() - sentAtMillis, readSystemTimeMillis(result));
                }
                else if (!request.idempotent) {
                    uncertainTarget ??= target;
                }
                if (!lastFailure.retry) {
                    break;
                }
                if (lastFailure.kind === "shuttingDown" || lastFailure.kind === "notReady") {
                    avoidedUntilMillis.set(target.address, monotonicMillis() + 1_000);
                    lookups.expire(request.service);
                    yield* Effect.sleep(connectFailureRetryDelayMillis);
                    continue;
                }
                yield* Effect.sleep(
                    Math.min(lastFailure.retryDelayMillis, Math.max(0, deadlineAtMillis - monotonicMillis()))
                );
            }
            const ran = uncertainTarget === undefined ? lastFailure.ran : lastFailure.ran === "yes" ? "yes" : "maybe";
            return yield* Effect.fail({ kind: lastFailure.kind, ran, attempts: attempt, attemptsNotRun: notRun });
        });

    return { send, close: () => agent.destroy() };
}
