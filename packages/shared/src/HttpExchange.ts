import { Effect } from "effect";
import { type Agent, type IncomingHttpHeaders, request as openRequest } from "node:http";

/** An HTTP/1.1 request with its complete body, its timeout and its response size limit. */
export interface HttpRequestOptions {
    readonly url: URL;
    readonly method: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Buffer;
    readonly agent?: Agent;
    readonly localAddress?: string;
    readonly timeoutMillis: number;
    readonly maxResponseBytes?: number;
}

/** A complete HTTP/1.1 response. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Reason why no complete response arrived; `sent` is whether any byte of the request may have been sent. */
export interface HttpFailure {
    readonly reason: string;
    readonly sent: boolean;
}

const defaultMaxResponseBytes = 64 * 1_048_576;

/** Sends a request and waits for the complete response; interruption closes the connection. */
export function httpExchange(call: HttpRequestOptions): Effect.Effect<HttpResponse, HttpFailure> {
    return Effect.callback<HttpResponse, HttpFailure>(resume => {
        let sent = false;
        const request = openRequest(call.url, {
            method: call.method,
            agent: call.agent,
            localAddress: call.localAddress,
            headers: call.body === undefined
                ? call.headers
                : { ...call.headers, "content-length": Buffer.byteLength(call.body) }
        });
        const fail = (reason: string) => {
            clearTimeout(timer);
            request.destroy();
            resume(Effect.fail({ reason, sent }));
        };
        const timer = setTimeout(() => fail("timeout"), call.timeoutMillis);
        request.on("socket", socket => {
            if (socket.connecting) {
                socket.once("connect", () => sent = true);
            }
            else {
                sent = true;
            }
        });
        request.on("error", error => fail(error.message));
        request.on("response", response => {
            const chunks: Buffer[] = [];
            let length = 0;
            response.on("data", (chunk: Buffer) => {
                length += chunk.length;
                chunks.push(chunk);
                if (length > (call.maxResponseBytes ?? defaultMaxResponseBytes)) {
                    fail("response too large");
                }
            });
            response.on("error", error => fail(error.message));
            response.on("close", () => {
                if (!response.complete) {
                    fail("response truncated");
                    return;
                }
                clearTimeout(timer);
                resume(Effect.succeed({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks)
                }));
            });
        });
        request.end(call.body);
        return Effect.sync(() => {
            clearTimeout(timer);
            request.destroy();
        });
    });
}
