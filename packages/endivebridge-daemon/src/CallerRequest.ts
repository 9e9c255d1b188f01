import { type SteeringError, steeringError } from "@endivebridge/core";
import type { ServiceDefinition } from "@endivebridge/settings";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import type { IncomingMessage } from "node:http";
import type { Context } from "./Context";
import { homeRegion } from "./Lookup";
import type { HeaderLine, SteeringRequest } from "./SteeringRequest";

const deadlineHeader = "endivebridge-deadline-millis";
const operationHeader = "endivebridge-operation";
const idempotencyHeader = "idempotency-key";
const safeTarget = /^\/[\x21-\x7e]*$/;
const keyPattern = /^[\x21-\x7e]{1,255}$/;

function refuse(kind: SteeringError["kind"], detail: string): Effect.Effect<never, SteeringError> {
    return Effect.fail(steeringError(kind, detail));
}

/** IPv4 address of the other end of a caller's connection. */
export function remoteAddress(incoming: IncomingMessage): string {
    return (incoming.socket.remoteAddress ?? "").replace(/^::ffff:/, "");
}

function singleHeader(incoming: IncomingMessage, name: string): Effect.Effect<string | undefined, SteeringError> {
    const values = incoming.headersDistinct[name];
    if (values !== undefined && values.length > 1) {
        return refuse("badRequest", `${name} is given more than once`);
    }
    return Effect.succeed(values?.[0]);
}

function readDeadline(text: string | undefined, definition: ServiceDefinition): Effect.Effect<number, SteeringError> {
    if (text === undefined) {
        return Effect.succeed(definition.deadlineMillis);
    }
    if (!/^\d{1,9}$/.test(text) || Number(text) === 0) {
        return refuse("badRequest", `${deadlineHeader} is no positive whole number`);
    }
    return Effect.succeed(Math.min(Number(text), definition.maximumDeadlineMillis));
}

function readBody(incoming: IncomingMessage, mostBytes: number): Effect.Effect<Buffer, SteeringError> {
    if (Number(incoming.headers["content-length"] ?? 0) > mostBytes) {
        return refuse("bodyTooLarge", `at most ${mostBytes} bytes`);
    }
    return Effect.callback<Buffer, SteeringError>(resume => {
        const chunks: Buffer[] = [];
        let length = 0;
        incoming.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length > mostBytes) {
                incoming.pause();
                resume(refuse("bodyTooLarge", `at most ${mostBytes} bytes`));
                return;
            }
            chunks.push(chunk);
        });
        incoming.on("end", () => resume(Effect.succeed(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))));
        incoming.on("error", error => resume(refuse("badRequest", error.message)));
    });
}

function headerLines(incoming: IncomingMessage): readonly HeaderLine[] {
    const lines: HeaderLine[] = [];
    for (let index = 0; index < incoming.rawHeaders.length; index += 2) {
        lines.push([incoming.rawHeaders[index]!, incoming.rawHeaders[index + 1]!]);
    }
    return lines;
}

function isIdempotent(definition: ServiceDefinition, method: string, path: string): boolean {
    return definition.idempotentRoutes.some(route => route.method === method && path.startsWith(route.pathPrefix));
}

/** Reads a caller's request whole and checks it. */
export const readCallerRequest = (
    context: Context,
    incoming: IncomingMessage,
    request: string
): Effect.Effect<SteeringRequest, SteeringError> =>
    Effect.gen(function*() {
        const configuration = context.configuration.read();
        if (configuration === undefined) {
            return yield* refuse("notReady", "");
        }
        if (context.shutdown.read()) {
            return yield* refuse("shuttingDown", "");
        }
        const target = incoming.url ?? "";
        if (!safeTarget.test(target)) {
            return yield* refuse("badRequest", "the target is no path");
        }
        const end = target.indexOf("/", 1);
        const service = target.slice(1, end < 0 ? undefined : end).split("?")[0]!;
        const definition = Object.hasOwn(configuration.document.services, service)
            ? configuration.document.services[service]
            : undefined;
        if (definition === undefined) {
            return yield* refuse("unknownService", service.slice(0, 64));
        }
        const path = end < 0 ? "/" : target.slice(end);
        const operation = yield* singleHeader(incoming, operationHeader);
        const idempotencyKey = yield* singleHeader(incoming, idempotencyHeader);
        if (idempotencyKey !== undefined && !keyPattern.test(idempotencyKey)) {
            return yield* refuse("badRequest", `${idempotencyHeader} is too long or not printable`);
        }
        const deadlineMillis = yield* readDeadline(yield* singleHeader(incoming, deadlineHeader), definition);
        const deadlineAtMillis = monotonicMillis() + deadlineMillis;
        const method = incoming.method ?? "GET";
        const body = yield* readBody(incoming, context.settings.limits.bodyBytes);
        return {
            request,
            service,
            definition,
            method,
            path,
            headers: headerLines(incoming),
            body,
            idempotent: isIdempotent(definition, method, path),
            operation,
            idempotencyKey,
            deadlineAtMillis,
            sourceRegion: homeRegion(context, remoteAddress(incoming)),
            forwarded: false
        };
    });
