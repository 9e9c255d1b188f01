/** Milliseconds of this process's monotonic clock; not comparable with values of other processes. */
export function monotonicMillis(): number {
    return performance.now();
}
