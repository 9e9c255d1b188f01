import {
    type EndedOperation,
    errorAnswers,
    type OperationOutcome,
    parseErrorKind,
    steeringError
} from "@endivebridge/core";
import { Schema } from "effect";
import type { Answer } from "./SteeringRequest";

const OperationRow = Schema.Struct({
    fingerprint: Schema.String,
    /** Instance and incarnation that run or ran it. */
    runner: Schema.String,
    state: Schema.Literals(["running", "answered", "failed", "notRun"]),
    status: Schema.optionalKey(Schema.Int),
    headers: Schema.optionalKey(Schema.Array(Schema.Tuple([Schema.String, Schema.String]))),
    body: Schema.optionalKey(Schema.String),
    error: Schema.optionalKey(Schema.String),
    /** Wall clock after which the platform may drop the row. */
    expiresAtEpochMillis: Schema.Number
});

/** What the table keeps of one operation. */
export type StoredOperation = typeof OperationRow.Type;

/** Key of the row of an operation. */
export function operationKey(operation: string): string {
    return `operation/id/${operation}`;
}

/** Key of the row that says an incarnation ended with everything it ran in the table. */
export function closedKey(instance: string, incarnation: string): string {
    return `closed/${instance}.${incarnation}`;
}

/** Reads a row; undefined where it is not one of ours. */
export function decodeOperation(value: unknown): StoredOperation | undefined {
    return Schema.is(OperationRow)(value) ? value : undefined;
}

/** The row of an operation that is about to run. */
export function runningOperation(runner: string, fingerprint: string, expiresAtEpochMillis: number): StoredOperation {
    return { fingerprint, runner, state: "running", expiresAtEpochMillis };
}

/** The row of an operation that ended. */
export function endedOperation(
    runner: string,
    ended: Omit<EndedOperation<Answer>, "operation">,
    expiresAtEpochMillis: number
): StoredOperation {
    const { fingerprint, outcome } = ended;
    if (outcome.kind === "error") {
        const state = errorAnswers[outcome.error.kind].ran === "no" ? "notRun" : "failed";
        return { fingerprint, runner, state, error: outcome.error.kind, expiresAtEpochMillis };
    }
    const { status, headers, body } = outcome.answer;
    return {
        fingerprint,
        runner,
        state: "answered",
        status,
        headers: headers.map(([name, value]) => [name, value] as const),
        body: body.toString("base64"),
        expiresAtEpochMillis
    };
}

/** What a caller is told of a stored operation; undefined where it may run again. */
export function storedOutcome(row: StoredOperation): OperationOutcome<Answer> | undefined {
    switch (row.state) {
        case "answered":
            return {
                kind: "answer",
                answer: {
                    status: row.status ?? 200,
                    headers: row.headers ?? [],
                    body: Buffer.from(row.body ?? "", "base64"),
                    rest: undefined,
                    server: ""
                }
            };
        case "failed":
            return { kind: "error", error: steeringError(parseErrorKind(row.error ?? ""), "as kept in the table") };
        case "running":
            return { kind: "error", error: steeringError("ownerUnreachable", `run by ${row.runner}`) };
        case "notRun":
            return undefined;
    }
}
