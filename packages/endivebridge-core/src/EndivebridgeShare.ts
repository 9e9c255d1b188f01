/** Integer part of `whole` for the holder at `index`, by weight; the parts of all holders sum to `whole` exactly. */
export function apportion(whole: number, weights: readonly number[], index: number): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    if (total === 0 || index < 0) {
        return 0;
    }
    const weightBefore = weights.slice(0, index).reduce((sum, weight) => sum + weight, 0);
    const weightUntil = weightBefore + (weights[index] ?? 0);
    return Math.floor((whole * weightUntil) / total) - Math.floor((whole * weightBefore) / total);
}

/** Share that decreases at once and increases after a delay by which every former holder must have reduced its own. */
export interface DelayedIncreaseShare {
    readonly update: (target: number, nowMillis: number) => number;
}

/** Creates a share that increases only after its target was unchanged for `increaseDelayMillis`. */
export function makeDelayedIncreaseShare(increaseDelayMillis: () => number): DelayedIncreaseShare {
    let current = 0;
    let started = false;
    let target = 0;
    let targetSinceMillis = 0;
    return {
        update: (nextTarget, nowMillis) => {
            if (nextTarget !== target || !started) {
                target = nextTarget;
                targetSinceMillis = nowMillis;
            }
            // The first share of a process waits too, since an earlier incarnation may just have admitted requests.
            started = true;
            if (target < current || nowMillis - targetSinceMillis >= increaseDelayMillis()) {
                current = target;
            }
            return current;
        }
    };
}
