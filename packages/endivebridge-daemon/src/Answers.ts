import { errorAnswers, type SteeringError } from "@endivebridge/core";
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import type { Answer } from "./SteeringRequest";

const minRetryMillis = 100;
const retryScaleMillis = 1_000;
const maxRefusalRatio = 5;

/** Lower bound of the ratio that scales the retry delay; used for a service that refuses nothing. */
export const minRefusalRatio = 0.3;

/**
 * Makes the answer for an error by its kind's entry in `errorAnswers`. `refusalRatio` is the ratio of refused to
 * answered requests: the higher it is, the longer the retry delay, so that retries don't overload the service again.
 */
export function errorAnswer(error: SteeringError, request: string, refusalRatio = minRefusalRatio): Answer {
    const { status, ran, retry, meaning } = errorAnswers[error.kind];
    const spreadMillis = retryScaleMillis * Math.min(maxRefusalRatio, Math.max(minRefusalRatio, refusalRatio));
    const retryAfterMillis = Math.round(minRetryMillis + spreadMillis * (0.5 + Math.random()));
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
        remainingBody: undefined,
        server: ""
    };
}

/** Makes an uncacheable answer with a JSON body. */
export function jsonAnswer(status: number, value: unknown): Answer {
    return {
        status,
        headers: [["Content-Type", "application/json"], ["Cache-Control", "no-store"]],
        body: Buffer.from(JSON.stringify(value)),
        remainingBody: undefined,
        server: ""
    };
}

/**
 * Writes an answer. For a streamed one, returns a promise of the end of the transfer; if its source breaks off, the
 * caller's connection is closed so that the caller notices the truncation.
 */
export function writeAnswer(response: ServerResponse, answer: Answer, request: string): Promise<void> | undefined {
    const flatHeaders = answer.headers.flatMap(([name, value]) => [name, value]);
    flatHeaders.push("Endivebridge-Request", request);
    if (answer.remainingBody === undefined) {
        const hasNoBody = answer.status === 204 || answer.status === 304;
        if (!hasNoBody && !hasHeader(answer, "content-length")) {
            flatHeaders.push("Content-Length", String(answer.body.length));
        }
        response.writeHead(answer.status, flatHeaders);
        response.end(answer.body);
        return undefined;
    }
    response.writeHead(answer.status, flatHeaders);
    response.write(answer.body);
    return pipeline(answer.remainingBody, response).catch(() => {
        response.destroy();
    });
}

function hasHeader(answer: Answer, name: string): boolean {
    return answer.headers.some(([header]) => header.toLowerCase() === name);
}
