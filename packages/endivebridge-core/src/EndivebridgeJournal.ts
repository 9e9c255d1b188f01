import { Deferred, Exit } from "effect";
import { type SteeringError, steeringError } from "./EndivebridgeErrors";
import type { OperationId } from "./EndivebridgeOperation";

/** Result of an operation: an answer, or an error whose kind tells whether the operation ran. */
export type OperationOutcome<Answer> =
    | { readonly kind: "answer"; readonly answer: Answer; }
    | { readonly kind: "error"; readonly error: SteeringError; };

/** How to handle an operation: run it, join the running one, return its outcome, or refuse it. */
export type OperationEntry<Answer> =
    | { readonly kind: "run"; readonly finish: (outcome: OperationOutcome<Answer>, ran: boolean) => void; }
    | { readonly kind: "join"; readonly outcome: Deferred.Deferred<OperationOutcome<Answer>>; }
    | { readonly kind: "done"; readonly outcome: OperationOutcome<Answer>; }
    | { readonly kind: "refused"; readonly error: SteeringError; };

interface JournalEntry<Answer> {
    readonly fingerprint: string;
    readonly mintEpoch: number;
    readonly deferred: Deferred.Deferred<OperationOutcome<Answer>>;
    outcome: OperationOutcome<Answer> | undefined;
    savedAtMillis: number | undefined;
}

/** Finished operation in the form that is saved outside this process. */
export interface EndedOperation<Answer> {
    readonly operation: string;
    readonly fingerprint: string;
    readonly outcome: OperationOutcome<Answer>;
}

/** Deduplicates the operations that this incarnation owns and keeps their outcomes. */
export interface Journal<Answer> {
    readonly begin: (text: string, id: OperationId, fingerprint: string) => OperationEntry<Answer>;
    readonly currentEpoch: () => number;
    readonly removeExpired: () => void;
    readonly has: (text: string) => boolean;
    /** Finished operations that are not saved yet, oldest first. */
    readonly unsaved: (maxOperations: number) => readonly EndedOperation<Answer>[];
    readonly markSaved: (operations: readonly string[]) => void;
    /** Marks the operations that were saved since the given time as not saved, since what was written may be lost. */
    readonly markLost: (savedSinceMillis: number) => void;
    readonly size: () => number;
    readonly inDoubt: () => readonly string[];
}

/** Clock, epoch length, retention time and capacity of a journal. */
export interface JournalOptions {
    readonly nowMillis: () => number;
    readonly mintEpochMillis: number;
    readonly retentionMillis: number;
    readonly capacity: number;
}

/** Creates an empty journal; epoch 0 starts now on the given clock. */
export function makeJournal<Answer>(options: JournalOptions): Journal<Answer> {
    const startedAtMillis = options.nowMillis();
    const entries = new Map<string, JournalEntry<Answer>>();
    const currentEpoch = () => Math.floor((options.nowMillis() - startedAtMillis) / options.mintEpochMillis);
    const oldestEpoch = () => currentEpoch() - Math.floor(options.retentionMillis / options.mintEpochMillis);

    const start = (text: string, id: OperationId, fingerprint: string): OperationEntry<Answer> => {
        const entry: JournalEntry<Answer> = {
            fingerprint,
            mintEpoch: id.mintEpoch,
            deferred: Deferred.makeUnsafe(),
            outcome: undefined,
            savedAtMillis: undefined
        };
        entries.set(text, entry);
        const finish = (outcome: OperationOutcome<Answer>, ran: boolean) => {
            entry.outcome = outcome;
            if (!ran) {
                entries.delete(text);
            }
            Deferred.doneUnsafe(entry.deferred, Exit.succeed(outcome));
        };
        return { kind: "run", finish };
    };

    return {
        currentEpoch,
        begin: (text, id, fingerprint) => {
            const existing = entries.get(text);
            if (existing !== undefined) {
                if (existing.fingerprint !== fingerprint) {
                    return refused("operationMismatch", "");
                }
                return existing.outcome === undefined
                    ? { kind: "join", outcome: existing.deferred }
                    : { kind: "done", outcome: existing.outcome };
            }
            if (id.mintEpoch < oldestEpoch()) {
                return refused("operationExpired", "");
            }
            if (id.mintEpoch > currentEpoch()) {
                return refused("badRequest", "the operation id is from no epoch of this instance");
            }
            if (entries.size >= options.capacity) {
                return refused("journalFull", "");
            }
            return start(text, id, fingerprint);
        },
        removeExpired: () => {
            const oldest = oldestEpoch();
            for (const [text, entry] of entries) {
                if (entry.mintEpoch < oldest && entry.outcome !== undefined) {
                    entries.delete(text);
                }
            }
        },
        has: text => entries.has(text),
        unsaved: maxOperations => {
            const unsavedOperations: EndedOperation<Answer>[] = [];
            for (const [operation, { fingerprint, outcome, savedAtMillis }] of entries) {
                if (savedAtMillis === undefined && outcome !== undefined) {
                    unsavedOperations.push({ operation, fingerprint, outcome });
                }
                if (unsavedOperations.length >= maxOperations) {
                    break;
                }
            }
            return unsavedOperations;
        },
        markSaved: operations => {
            for (const operation of operations) {
                const entry = entries.get(operation);
                if (entry !== undefined) {
                    entry.savedAtMillis = options.nowMillis();
                }
            }
        },
        markLost: savedSinceMillis => {
            for (const entry of entries.values()) {
                if (entry.savedAtMillis !== undefined && entry.savedAtMillis >= savedSinceMillis) {
                    entry.savedAtMillis = undefined;
                }
            }
        },
        size: () => entries.size,
        inDoubt: () => [...entries].filter(([, entry]) => entry.outcome?.kind === "error").map(([text]) => text)
    };

    function refused(kind: SteeringError["kind"], detail: string): OperationEntry<Answer> {
        return { kind: "refused", error: steeringError(kind, detail) };
    }
}
