import type { Teardown } from "./MergeTeardowns";
import { monotonicMillis } from "./MonotonicMillis";

/** Time limits of a transfer, which fails when it is silent rather than when it is slow. */
export interface TransferTimeouts {
    readonly firstByteMillis: number;
    /** Longest pause between two chunks. */
    readonly silenceMillis: number;
    /** Limit on the time from the first byte to the last, so that a trickle of bytes ends too. */
    readonly maxTransferMillis: number;
}

/** Running timer of one transfer. */
export interface TransferTimer {
    readonly recordChunk: () => void;
    readonly stop: Teardown;
}

/** Starts the timer of a transfer; `onTimeout` is called at most once, with a description. */
export function startTransferTimer(
    { firstByteMillis, silenceMillis, maxTransferMillis }: TransferTimeouts,
    onTimeout: (detail: string) => void
): TransferTimer {
    let timer = setTimeout(() => onTimeout("response timed out"), firstByteMillis);
    let endMillis: number | undefined;
    return {
        recordChunk: () => {
            clearTimeout(timer);
            const nowMillis = monotonicMillis();
            endMillis ??= nowMillis + maxTransferMillis;
            const remainingMillis = Math.max(0, endMillis - nowMillis);
            timer = remainingMillis < silenceMillis
                ? setTimeout(() => onTimeout("transfer takes too long"), remainingMillis)
                : setTimeout(() => onTimeout("transfer stalled"), silenceMillis);
        },
        stop: () => clearTimeout(timer)
    };
}
