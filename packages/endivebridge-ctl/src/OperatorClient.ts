import { httpExchange, type HttpFailure } from "@endivebridge/shared";
import { Effect } from "effect";

/** Where and as whom an operator calls. */
export interface OperatorClientOptions {
    /** `host:port` of any entry instance. */
    readonly address: string;
    readonly key: string;
    readonly timeoutMillis: number;
}

/** An answer of an entry instance to an operator. */
export interface OperatorAnswer {
    readonly status: number;
    readonly value: unknown;
}

/** Sends one query or command. */
export function callOperator(
    options: OperatorClientOptions,
    path: string,
    body?: unknown
): Effect.Effect<OperatorAnswer, HttpFailure> {
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
                catch: (): HttpFailure => ({ reason: "the answer is not JSON", sent: true })
            })
        )
    );
}
