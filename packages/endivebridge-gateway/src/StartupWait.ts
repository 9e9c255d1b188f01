/** Holds requests while a starting instance loads the state that it needs to serve them. */
export interface StartupWait {
    /** Resolves once the state is complete; undefined if it is complete, or is not expected to be soon. */
    readonly whenStateComplete: () => Promise<void> | undefined;
    /** Releases the held requests if the state is complete. */
    readonly releaseIfComplete: () => void;
    /** Releases the held requests because the store, the source of the missing state, was lost. */
    readonly releaseNow: () => void;
}

/** Limit on the wait; an available store, even a slow one, answers within this time of the start. */
const maxWaitMillis = 1_000;

/** Starts the wait, which ends when the state is complete, the source is lost or the limit has passed. */
export function makeStartupWait(isStateComplete: () => boolean): StartupWait {
    const waiting = new Set<() => void>();
    let isOver = false;
    const release = () => {
        isOver = true;
        clearTimeout(timer);
        waiting.forEach(resolve => resolve());
        waiting.clear();
    };
    const timer = setTimeout(release, maxWaitMillis);
    return {
        whenStateComplete: () =>
            isOver
                ? undefined
                : new Promise(resolve => waiting.add(resolve)),
        releaseIfComplete: () => {
            if (isStateComplete()) {
                release();
            }
        },
        releaseNow: release
    };
}
