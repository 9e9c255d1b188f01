/** Milliseconds on this process's monotonic clock; never compared with another process's. */
export function monotonicMillis(): number {
    return performance.now();
}
