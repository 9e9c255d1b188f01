import type { ServiceDefinition } from "@endivebridge/settings";

/** A header line as it came; names keep their case. */
export type HeaderLine = readonly [name: string, value: string];

/** A caller's request, checked and read whole. */
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
    /** On this process's monotonic clock. */
    readonly deadlineAtMillis: number;
    /** Region that the caller's address belongs to. */
    readonly sourceRegion: string;
    /** Whether a peer sent it: it may use a free slot here, but neither wait nor move on. */
    readonly forwarded: boolean;
}

/** What a caller gets. */
export interface Answer {
    readonly status: number;
    readonly headers: readonly HeaderLine[];
    readonly body: Buffer;
    /** What follows `body` where the answer was too large to be held. */
    readonly rest: NodeJS.ReadableStream | undefined;
    readonly server: string;
}

/** Header that tells a caller how long its request waited inside the system. */
export const waitHeader = "Endivebridge-Wait-Millis";
