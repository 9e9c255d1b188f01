import type { IncomingMessage, ServerResponse } from "node:http";
import type { HeldMemory } from "./HeldMemory";
import type { Teardown } from "./MergeTeardowns";

/** Memory of one request, which is given up for others while its body is incomplete. */
export interface RequestMemory {
    readonly setBodyBytes: (bytes: number) => void;
    /** Whether the memory was needed for others, so that the request cannot be served. */
    readonly isRefused: () => boolean;
    /** Registers the listener that is called when the memory is needed for others. */
    readonly setRefusalListener: (listener: () => void) => void;
    /** Excludes the request from being refused. */
    readonly keep: () => void;
    readonly release: Teardown;
}

/** Memory of a request with its message, response and log fields, besides its head and body. */
export const requestBytes = 16_384;
/** Smaller answers fit into the buffers of the connection. */
const minAnswerBytes = 16_384;

function headBytes({ rawHeaders, url = "" }: IncomingMessage): number {
    return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}

/** Claims the memory of a request whose head was received. */
export function claimRequestMemory(memory: HeldMemory, message: IncomingMessage): RequestMemory {
    const bytesWithoutBody = requestBytes + headBytes(message);
    let isRefused = false;
    let onRefused = (): void => undefined;
    const claim = memory.claim(bytesWithoutBody, () => {
        isRefused = true;
        onRefused();
    });
    return {
        setBodyBytes: bytes => claim.resize(bytesWithoutBody + bytes),
        isRefused: () => isRefused,
        setRefusalListener: listener => onRefused = listener,
        keep: claim.keep,
        release: claim.release
    };
}

/**
 * Claims the memory of an answer until it is written or the returned function is called. `cut` gives it up for others;
 * answers of similar size that their clients have not read for the longest time are cut first.
 */
export function claimAnswerMemory(
    memory: HeldMemory,
    response: ServerResponse,
    bytes: number,
    cut: () => void
): Teardown {
    if (bytes < minAnswerBytes) {
        return () => undefined;
    }
    const claim = memory.claim(bytes, cut);
    response.on("drain", claim.touch);
    response.once("finish", claim.release);
    return claim.release;
}
