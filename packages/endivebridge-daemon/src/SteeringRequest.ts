import type { ServiceDefinition } from "@endivebridge/settings";

/** A header as received; the name keeps its case. */
export type HeaderLine = readonly [name: string, value: string];

/** A validated request of a caller with its whole body. */
export interface SteeringRequest {
    readonly request: string;
    readonly service: string;
    readonly definition: ServiceDefinition;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly HeaderLine[];
    readonly body: Buffer;
    readonly idempotent: boolean;
    readonly operation: string | undefined;
    readonly idempotencyKey: string | undefined;
    /** Deadline on this process's monotonic clock. */
    readonly deadlineAtMillis: number;
    /** Region to which the caller's address maps. */
    readonly sourceRegion: string;
    /** Whether a peer forwarded the request. It may then use a free slot here, but is neither queued nor forwarded. */
    readonly forwarded: boolean;
}

/** Response to a caller. */
export interface Answer {
    readonly status: number;
    readonly headers: readonly HeaderLine[];
    readonly body: Buffer;
    /** Stream of the bytes that follow `body`, where the answer was too large to buffer. */
    readonly remainingBody: NodeJS.ReadableStream | undefined;
    readonly server: string;
}

/** Response header: milliseconds that the request waited for a slot; on an error, that it spent inside the system. */
export const waitMillisHeader = "Endivebridge-Wait-Millis";
