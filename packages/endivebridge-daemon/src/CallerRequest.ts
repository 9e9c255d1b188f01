import { type SteeringError, steeringError } from "@endivebridge/core";
import type { ServiceDefinition } from "@endivebridge/settings";
import { makeByteCollector, monotonicMillis, type RequestMemory } from "@endivebridge/shared";
import { Effect } from "effect";
import type { IncomingMessage } from "node:http";
import type { Context } from "./Context";
import { isHopByHopHeader } from "./HopByHopHeader";
import { homeRegion } from "./Lookup";
import type { HeaderLine, SteeringRequest } from "./SteeringRequest";

const deadlineHeader = "endivebridge-deadline-millis";
const operationHeader = "endivebridge-operation";
const idempotencyHeader = "idempotency-key";
const emptyBody = Buffer.alloc(0);
const targetPattern = /^\/[\x21-\x7e]*$/;
const idempotencyKeyPattern = /^[\x21-\x7e]{1,255}$/;

function refuse(kind: SteeringError["kind"], detail: string): Effect.Effect<never, SteeringError> {
    return Effect.fail(steeringError(kind, detail));
}

/** Remote address of a caller's connection; IPv4-mapped IPv6 addresses are reduced to IPv4. */
export function remoteAddress(incoming: IncomingMessage): string {
    return (incoming.socket.remoteAddress ?? "").replace(/^::ffff:/, "");
}

/** Request headers: those to forward to the backend server, and the values that the entry instance uses itself. */
interface RequestHead {
    readonly headerLines: readonly HeaderLine[];
    operation: string | undefined;
    idempotencyKey: string | undefined;
    deadline: string | undefined;
    contentLength: string | undefined;
    chunked: boolean;
}

function setOnce(head: RequestHead, field: "operation" | "idempotencyKey" | "deadline", name: string, value: string) {
    if (head[field] !== undefined) {
        return refuse("badRequest", `${name} is given more than once`);
    }
    head[field] = value;
    return undefined;
}

/** Parses the raw headers in one pass, in the order received; rejects duplicates of the system's own headers. */
function parseRequestHead(incoming: IncomingMessage): Effect.Effect<RequestHead, SteeringError> {
    const headerLines: HeaderLine[] = [];
    const head: RequestHead = {
        headerLines,
        operation: undefined,
        idempotencyKey: undefined,
        deadline: undefined,
        contentLength: undefined,
        chunked: false
    };
    const { rawHeaders } = incoming;
    let fault: Effect.Effect<never, SteeringError> | undefined;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!;
        const value = rawHeaders[index + 1]!;
        switch (name.toLowerCase()) {
            case operationHeader:
                fault ??= setOnce(head, "operation", name, value);
                break;
            case idempotencyHeader:
                fault ??= setOnce(head, "idempotencyKey", name, value);
                break;
            case deadlineHeader:
                fault ??= setOnce(head, "deadline", name, value);
                break;
            case "content-length":
                head.contentLength = value;
                break;
            case "transfer-encoding":
                head.chunked = true;
                break;
            default:
                if (!isHopByHopHeader(name)) {
                    headerLines.push([name, value]);
                }
        }
    }
    return fault ?? Effect.succeed(head);
}

function parseDeadlineMillis(
    text: string | undefined,
    definition: ServiceDefinition
): Effect.Effect<number, SteeringError> {
    if (text === undefined) {
        return Effect.succeed(definition.deadlineMillis);
    }
    if (!/^\d{1,9}$/.test(text) || Number(text) === 0) {
        return refuse("badRequest", `${deadlineHeader} is no positive whole number`);
    }
    return Effect.succeed(Math.min(Number(text), definition.maximumDeadlineMillis));
}

/**
 * Buffers the whole request body; fails with bodyTooLarge once it exceeds `maxBytes`, and with overloaded if its memory is
 * needed for others.
 */
export function readBody(
    incoming: IncomingMessage,
    head: Pick<RequestHead, "contentLength" | "chunked">,
    maxBytes: number,
    memory: RequestMemory
): Effect.Effect<Buffer, SteeringError> {
    if (Number(head.contentLength ?? 0) > maxBytes) {
        return refuse("bodyTooLarge", `at most ${maxBytes} bytes`);
    }
    if (memory.isRefused()) {
        incoming.pause();
        return refuse("overloaded", "callers hold too much memory");
    }
    if (head.contentLength === undefined && !head.chunked) {
        incoming.resume();
        memory.keep();
        return Effect.succeed(emptyBody);
    }
    return Effect.callback<Buffer, SteeringError>(resume => {
        const body = makeByteCollector();
        const stop = (refusal: Effect.Effect<never, SteeringError>) => {
            incoming.removeAllListeners("data");
            incoming.pause();
            body.clear();
            memory.release();
            resume(refusal);
        };
        memory.setRefusalListener(() => stop(refuse("overloaded", "callers hold too much memory")));
        incoming.on("data", (chunk: Buffer) => {
            if (body.length() + chunk.length > maxBytes) {
                stop(refuse("bodyTooLarge", `at most ${maxBytes} bytes`));
                return;
            }
            body.append(chunk);
            memory.setBodyBytes(body.heldBytes());
        });
        incoming.on("end", () => {
            memory.keep();
            resume(Effect.succeed(body.take()));
        });
        incoming.on("error", error => resume(refuse("badRequest", error.message)));
    });
}

function isIdempotent(definition: ServiceDefinition, method: string, path: string): boolean {
    return definition.idempotentRoutes.some(route => route.method === method && path.startsWith(route.pathPrefix));
}

/** Reads and validates a caller's request, including its whole body. */
export const readCallerRequest = (
    context: Context,
    incoming: IncomingMessage,
    request: string,
    memory: RequestMemory
): Effect.Effect<SteeringRequest, SteeringError> =>
    Effect.gen(function*() {
        const configuration = context.configuration.read();
        if (configuration === undefined) {
            return yield* refuse("notReady", "");
        }
        if (context.shutdown.read()) {
            return yield* refuse("shuttingDown", "");
        }
        if (incoming.headers.host === undefined && incoming.httpVersion === "1.1") {
            return yield* refuse("badRequest", "the Host header is missing");
        }
        const target = incoming.url ?? "";
        if (!targetPattern.test(target)) {
            return yield* refuse("badRequest", "the target is no path");
        }
        const pathStart = target.indexOf("/", 1);
        const service = target.slice(1, pathStart < 0 ? undefined : pathStart).split("?")[0]!;
        const definition = Object.hasOwn(configuration.document.services, service)
            ? configuration.document.services[service]
            : undefined;
        if (definition === undefined) {
            return yield* refuse("unknownService", service.slice(0, 64));
        }
        const path = pathStart < 0 ? "/" : target.slice(pathStart);
        const head = yield* parseRequestHead(incoming);
        const { operation, idempotencyKey } = head;
        if (idempotencyKey !== undefined && !idempotencyKeyPattern.test(idempotencyKey)) {
            return yield* refuse("badRequest", `${idempotencyHeader} is too long or not printable`);
        }
        const deadlineMillis = yield* parseDeadlineMillis(head.deadline, definition);
        const deadlineAtMillis = monotonicMillis() + deadlineMillis;
        const method = incoming.method ?? "GET";
        const body = yield* readBody(incoming, head, context.settings.limits.bodyBytes, memory);
        return {
            request,
            service,
            definition,
            method,
            path,
            headers: head.headerLines,
            body,
            idempotent: isIdempotent(definition, method, path),
            operation,
            idempotencyKey,
            deadlineAtMillis,
            sourceRegion: homeRegion(context, remoteAddress(incoming)),
            forwarded: false
        };
    });
