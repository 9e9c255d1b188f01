import { httpExchange, type HttpFailure } from "@endivebridge/shared";
import { Effect } from "effect";

/** Entry instance and credentials that operator requests are sent with. */
export interface OperatorClientOptions {
    /** `host:port` of any entry instance. */
    readonly address: string;
    /** Operator key, sent as a bearer token. */
    readonly key: string;
    readonly timeoutMillis: number;
}

/** HTTP status and decoded JSON body of an operator response. */
export interface OperatorResponse {
    readonly status: number;
    readonly value: unknown;
}

/** Sends a query as GET, or a command as POST when a body is given, and decodes the JSON response. */
export function callOperator(
    options: OperatorClientOptions,
    path: string,
    body?: unknown
): Effect.Effect<OperatorResponse, HttpFailure> {
    return httpExchange({
        url: new URL(`http://${options.address}/.endivebridge/operator/${path}`),
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${options.key}` },
        body: body === undefined ? undefined : JSON.stringify(body),
        timeoutMillis: options.timeoutMillis
    }).pipe(
        Effect.flatMap(answer =>
            Effect.try({
                try: () => ({ status: answer.status, value: JSON.parse(answer.body.toString()) as unknown }),
                catch: (): HttpFailure => ({ reason: "the response body is not valid JSON", sent: true })
            })
        )
    );
}
