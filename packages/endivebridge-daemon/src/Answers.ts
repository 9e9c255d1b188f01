import { errorAnswers, type SteeringError } from "@endivebridge/core";
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import type { Answer } from "./SteeringRequest";

const shortestRetryMillis = 100;
const retryUnitMillis = 1_000;
const mostPressure = 5;

/** Pressure of a service that refuses nothing. */
export const leastPressure = 0.3;

/**
 * Makes the answer that the table of error kinds gives for an error. `pressure` is the ratio of refused to answered
 * requests: the more are refused, the later they are asked to come back, so that their return is no load of its own.
 */
export function errorAnswer(error: SteeringError, request: string, pressure = leastPressure): Answer {
    const { status, ran, retry, meaning } = errorAnswers[error.kind];
    const spread = retryUnitMillis * Math.min(mostPressure, Math.max(leastPressure, pressure));
    const retryAfterMillis = Math.round(shortestRetryMillis + spread * (0.5 + Math.random()));
    const body = Buffer.from(JSON.stringify({
        error: error.kind,
        ran,
        retry,
        meaning,
        detail: error.detail,
        request,
        ...(retry ? { retryAfterMillis } : {})
    }));
    return {
        status,
        headers: [
            ["Content-Type", "application/json"],
            ["Endivebridge-Error", error.kind],
            ["Endivebridge-Ran", ran],
            ["Endivebridge-Retry", retry ? "yes" : "no"],
            ...(retry ? [["Retry-After", String(Math.ceil(retryAfterMillis / 1_000))] as const] : [])
        ],
        body,
        rest: undefined,
        server: ""
    };
}

/** Makes an answer with a JSON body. */
export function jsonAnswer(status: number, value: unknown): Answer {
    return {
        status,
        headers: [["Content-Type", "application/json"], ["Cache-Control", "no-store"]],
        body: Buffer.from(JSON.stringify(value)),
        rest: undefined,
        server: ""
    };
}

/**
 * Writes an answer; gives the end of the transfer where it streams. A streamed answer that is cut ends the
 * connection, so that the caller sees the cut.
 */
export function writeAnswer(response: ServerResponse, answer: Answer, request: string): Promise<void> | undefined {
    const flat = answer.headers.flatMap(([name, value]) => [name, value]);
    flat.push("Endivebridge-Request", request);
    if (answer.rest === undefined) {
        const bodyless = answer.status === 204 || answer.status === 304;
        if (!bodyless && !hasHeader(answer, "content-length")) {
            flat.push("Content-Length", String(answer.body.length));
        }
        response.writeHead(answer.status, flat);
        response.end(answer.body);
        return undefined;
    }
    response.writeHead(answer.status, flat);
    response.write(answer.body);
    return pipeline(answer.rest, response).catch(() => {
        response.destroy();
    });
}

function hasHeader(answer: Answer, name: string): boolean {
    return answer.headers.some(([header]) => header.toLowerCase() === name);
}
