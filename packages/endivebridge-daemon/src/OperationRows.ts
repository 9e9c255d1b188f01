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
    /** Instance and incarnation that run or ran the operation. */
    runner: Schema.String,
    state: Schema.Literals(["running", "answered", "failed", "notRun"]),
    status: Schema.optionalKey(Schema.Int),
    headers: Schema.optionalKey(Schema.Array(Schema.Tuple([Schema.String, Schema.String]))),
    body: Schema.optionalKey(Schema.String),
    error: Schema.optionalKey(Schema.String),
    /** Wall-clock time after which the platform may delete the row. */
    expiresAtEpochMillis: Schema.Number
});

/** The row of one operation in the table: its state and, once it ended, its outcome. */
export type StoredOperationRow = typeof OperationRow.Type;

/** Table key of an operation's row. */
export function operationRowKey(operation: string): string {
    return `operation/id/${operation}`;
}

/** Table key of the marker of an incarnation that shut down after it had written all its operations to the table. */
export function closedMarkerKey(instance: string, incarnation: string): string {
    return `closed/${instance}.${incarnation}`;
}

/** Decodes a row; undefined where it doesn't match the schema. */
export function decodeOperationRow(value: unknown): StoredOperationRow | undefined {
    return Schema.is(OperationRow)(value) ? value : undefined;
}

/** Makes the row that is written before an operation runs. */
export function makeRunningRow(runner: string, fingerprint: string, expiresAtEpochMillis: number): StoredOperationRow {
    return { fingerprint, runner, state: "running", expiresAtEpochMillis };
}

/** Makes the row of an operation that ended, with its answer or error. */
export function makeEndedRow(
    runner: string,
    ended: Omit<EndedOperation<Answer>, "operation">,
    expiresAtEpochMillis: number
): StoredOperationRow {
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

/** Outcome that a caller gets for a stored operation; undefined where the operation did not run and may run now. */
export function outcomeFromRow(row: StoredOperationRow): OperationOutcome<Answer> | undefined {
    switch (row.state) {
        case "answered":
            return {
                kind: "answer",
                answer: {
                    status: row.status ?? 200,
                    headers: row.headers ?? [],
                    body: Buffer.from(row.body ?? "", "base64"),
                    remainingBody: undefined,
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
