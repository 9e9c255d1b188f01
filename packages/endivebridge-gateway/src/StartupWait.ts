/** Holds requests while a starting instance loads the state that it needs to serve them. */
export interface StartupWait {
    /** Resolves once the instance is informed; undefined where it is, or will not be soon. */
    readonly whenInformed: () => Promise<void> | undefined;
    /** Releases the held requests if the state is now complete. */
    readonly check: () => void;
    /** Releases the held requests because the store, the source of the missing state, was lost. */
    readonly giveUp: () => void;
}

/** Limit on the wait; an available store, even a slow one, answers within this time of the start. */
const maxWaitMillis = 1_000;

/** Starts the wait, which ends when the state is complete, the source is lost or the limit has passed. */
export function makeStartupWait(isInformed: () => boolean): StartupWait {
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
        whenInformed: () =>
            isOver
                ? undefined
                : new Promise(resolve => waiting.add(resolve)),
        check: () => {
            if (isInformed()) {
                release();
            }
        },
        giveUp: release
    };
}
